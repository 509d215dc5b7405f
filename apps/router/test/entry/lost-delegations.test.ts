/** Tests of requests that were delegated and whose outcome is not known. */
import {createSeal} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
import * as net from 'node:net';
import {cutOff} from './cutting.js';
import {
  attemptId,
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Answer,
  type Site,
} from './site.js';

const KINDS = {
  'that may not be repeated': {kind: 'non_idempotent', maxRuns: 1},
  'with two attempts': {kind: 'idempotent', maxRuns: 2},
} as const;
type Kind = (typeof KINDS)[keyof typeof KINDS];

/** A site whose first node is cut off from the upstreams and knows it. */
async function startCutSite(
  t: ExecutionContext,
  {kind}: Kind,
): Promise<{site: Site; heal: () => void}> {
  const site = await startSite(4);
  t.teardown(() => closeSite(site));
  configure(site, [route({kind, max_attempts: 2})]);
  for (let index = 0; index < 2; index += 1) await startNode(site);
  const [{node}] = site.entries;
  for (const {node: each} of site.entries)
    await until(() => each.members.size === 2);
  const heal = cutOff(site.entries[0], 'refused');
  while (!node.reachability.cutOff.has('api')) await call(site.entries[0]);
  return {site, heal};
}

/** Sends a request to the cut node; returns its answer and its number of runs. */
async function countRunsOf(site: Site): Promise<[Answer, number]> {
  const id = attemptId();
  const headers = {'x-parsleyarch-attempt-id': id};
  const answer = await call(site.entries[0], {method: 'POST', headers});
  const runs = site.runners
    .flatMap(({requests}) => requests)
    .filter(({attempt}) => attempt === id);
  return [answer, runs.length];
}

for (const [name, kind] of Object.entries(KINDS)) {
  // Guards against a second run after the delegate lost the answer of the first.
  test(`a request ${name} is not sent again when its delegate has lost the answer`, async t => {
    const {site, heal} = await startCutSite(t, kind);
    for (const runner of site.runners)
      runner.script = (_request, response) => {
        heal();
        response.destroy();
      };
    const [answer, runs] = await countRunsOf(site);
    t.is(answer.status, 502);
    t.true(runs >= 1 && runs <= kind.maxRuns, `${runs} runs`);
  });

  // Guards against a second run after the answer of the delegate was cut short.
  test(`a request ${name} is not sent again when the answer of its delegate ends early`, async t => {
    const {site, heal} = await startCutSite(t, kind);
    const delegate = net.createServer(socket => {
      socket.on('error', () => {});
      socket.once('data', received => {
        const [, attempt] = /attempt-id: (\S+)/i.exec(String(received)) ?? [];
        const seal = createSeal({attempt} as Parameters<typeof createSeal>[0]);
        heal();
        const fields = Object.entries({...seal, 'Content-Length': 50});
        const lines = fields.map(([field, value]) => `${field}: ${value}\r\n`);
        socket.end(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\nshort`);
      });
    });
    t.teardown(() => delegate.close());
    await new Promise<void>(done => delegate.listen(0, '127.0.0.1', done));
    const {port} = delegate.address() as net.AddressInfo;
    site.entries[0].node.peerAgent.createConnection = () =>
      net.connect(port, '127.0.0.1');
    const [answer, runs] = await countRunsOf(site);
    t.is(answer.status, 502);
    t.is(runs, 0);
  });
}
