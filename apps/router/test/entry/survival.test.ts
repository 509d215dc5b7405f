/** Tests of answers that prove that an upstream survives a request. */
import {createSeal, type Script} from '@parsleyarch/standins/runner';
import {mergeCrashes} from '@parsleyarch/router/entry/crashes';
import type {Entry} from '@parsleyarch/router/entry/serve';
import test, {type ExecutionContext} from 'ava';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const SEGMENT = 'segment aa';
const EVENT_INTERVAL_MS = 60;
/** Longest time from an answer that proves a segment sound to its clearance. */
const CLEARANCE_MS = 1_000;

/** A node that suspects a segment of the ends of two upstreams. */
async function startSuspiciousNode(
  t: ExecutionContext,
  kind: string,
): Promise<{site: Site; entry: Entry}> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({kind, resumable: true, timeout_ms: 10_000})]);
  const entry = await startNode(site);
  const suspect = {
    key: SEGMENT,
    cleared: false,
    answered: false,
    runMs: 50,
    specificity: 1,
  };
  const crashes = ['u@1', 'u@2'].map((upstream, index) => ({
    upstream,
    ageMs: 5_000 - index * 1_000,
    suspects: [suspect],
  }));
  mergeCrashes(entry.node, {crashDigest: 0, crashes});
  return {site, entry};
}

function isSuspected({node}: Entry): boolean {
  const crashes = [...node.crashes.evidence.crashes.values()];
  return crashes.some(({suspects}) => suspects.get(SEGMENT)?.cleared === false);
}

/** Sends a request with the suspected segment, and waits until its answer has ended. */
async function sendSuspect(entry: Entry): Promise<void> {
  const headers = {
    'x-parsleyarch-prompt-prefix': 'aa:100,bb:50',
    'x-parsleyarch-deadline-ms': '10000',
  };
  await call(entry, {headers});
}

interface StreamShape {
  readonly framed: boolean;
  readonly eventCount: number;
  readonly intervalMs: number;
}

/** Streams events, and ends the stream with its connection if it is not framed. */
const streamScript =
  ({framed, eventCount, intervalMs}: StreamShape): Script =>
  async (request, response) => {
    response.useChunkedEncodingByDefault = framed;
    response.writeHead(200, {
      ...createSeal(request),
      'content-type': 'text/event-stream',
      ...(framed ? {} : {connection: 'close'}),
    });
    for (let id = 1; id <= eventCount && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: e${id}\n\n`);
      await wait(intervalMs);
    }
    response.end();
  };

const LONG = {eventCount: 100, intervalMs: EVENT_INTERVAL_MS};
const SHORT = {eventCount: 1, intervalMs: 0};
const SHAPES: Readonly<Record<string, StreamShape>> = {
  'long framed': {framed: true, ...LONG},
  'long unframed': {framed: false, ...LONG},
  'short framed': {framed: true, ...SHORT},
  'short unframed': {framed: false, ...SHORT},
};

// Guards against the refusal of sound requests until a stream has ended, or for good.
for (const [name, shape] of Object.entries(SHAPES)) {
  test(`the first events of a ${name} stream clear its prompt segments`, async t => {
    const {site, entry} = await startSuspiciousNode(t, 'stream');
    for (const runner of site.runners) runner.script = streamScript(shape);
    const startedAt = performance.now();
    const ended = sendSuspect(entry);
    await until(() => !isSuspected(entry));
    t.true(performance.now() - startedAt < CLEARANCE_MS);
    site.runners.forEach(({server}) => server.stop());
    await ended;
  });
}

// Guards against the refusal of sound requests whose answers are no framed successes.
for (const status of [200, 404]) {
  test(`a complete answer ${status} without a length clears a suspect`, async t => {
    const {site, entry} = await startSuspiciousNode(t, 'idempotent');
    for (const runner of site.runners)
      runner.script = (request, response) => {
        response.useChunkedEncodingByDefault = false;
        const seal = createSeal(request);
        response.writeHead(status, {...seal, connection: 'close'}).end('whole');
      };
    await sendSuspect(entry);
    await until(() => !isSuspected(entry));
    t.pass();
  });
}

for (const kind of ['stream', 'idempotent']) {
  test(`an answer (${kind}) without a length that the end of its upstream cut off clears nothing`, async t => {
    const {site, entry} = await startSuspiciousNode(t, kind);
    for (const runner of site.runners)
      runner.script = async (request, response) => {
        response.useChunkedEncodingByDefault = false;
        response.writeHead(200, {
          ...createSeal(request),
          'content-type': 'text/event-stream',
          connection: 'close',
        });
        response.write('id: 1\ndata: e1\n\n');
        await wait(5);
        response.end();
        await runner.server.stop();
      };
    await sendSuspect(entry);
    await wait(CLEARANCE_MS);
    t.true(isSuspected(entry));
  });
}
