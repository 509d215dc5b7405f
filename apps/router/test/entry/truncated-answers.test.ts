/** Tests of upstreams that stop in the middle of an answer and close its connection. */
import {createSeal, type ReceivedRequest} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
import type {ServerResponse} from 'node:http';
import type {Entry} from '@parsleyarch/router/entry/serve';
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

/** Bytes of the body after which an answer is cut as well. */
const CUT_BODY_BYTES = 24;
const CONCURRENCY = 24;

const EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: e${id}\n\n`);
const PLAIN_BODY = 'the whole body of the upstream';

/** How the end of a body is known. */
const FRAMINGS = {
  length: (body: string) => [`Content-Length: ${body.length}`, body],
  chunks: (body: string) => [
    'Transfer-Encoding: chunked',
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ],
  'neither of them': (body: string) => ['Connection: close', body],
} as const;
type Framing = keyof typeof FRAMINGS;

/** How a connection is closed before the end of the answer. */
const CLOSURES = {
  closed: (response: ServerResponse) => void response.socket!.end(),
  reset: (response: ServerResponse) =>
    void setTimeout(() => response.socket?.resetAndDestroy(), 2),
} as const;
type Closure = keyof typeof CLOSURES;

/** The bytes of an answer; those of a resumed stream begin after the last event. */
function buildAnswer(
  request: ReceivedRequest,
  framing: Framing,
): {bytes: string; headLength: number} {
  const lastId = Number(request.headers['last-event-id'] ?? 0);
  const isStream = request.path.startsWith('/stream/');
  const body = isStream ? EVENTS.slice(lastId).join('') : PLAIN_BODY;
  const [field, framed] = FRAMINGS[framing](body);
  const fields = {
    ...createSeal(request),
    'Content-Type': isStream ? 'text/event-stream' : 'text/plain',
  };
  const lines = Object.entries(fields).map(entry => entry.join(': '));
  const head = ['HTTP/1.1 200 OK', ...lines, field, '', ''].join('\r\n');
  return {bytes: head + framed, headLength: head.length};
}

/** Which route is asked, and whether the first stream breaks after one event. */
const PATHS = {
  'a plain answer': {path: '/once/x', isResumed: false},
  'a stream': {path: '/stream/once/x', isResumed: false},
  'a resumed stream': {path: '/stream/resumed/x', isResumed: true},
} as const;

async function startCuttingSite(
  t: ExecutionContext,
  nodes: number,
): Promise<Site> {
  const site = await startSite(3);
  t.teardown(() => closeSite(site));
  const once = {kind: 'non_idempotent', max_attempts: 1};
  configure(site, [
    route({name: 'once', path_prefix: '/once/', ...once}),
    route({
      name: 'stream',
      path_prefix: '/stream/once/',
      kind: 'stream',
      max_attempts: 1,
    }),
    route({
      name: 'resumed',
      path_prefix: '/stream/resumed/',
      kind: 'stream',
      resumable: true,
    }),
  ]);
  for (let index = 0; index < nodes; index += 1) await startNode(site);
  await until(() => site.entries[0].node.upstreams.size === 3);
  return site;
}

/** Answers every request with the first bytes of an answer, and closes. */
function cutAnswers(
  site: Site,
  framing: Framing,
  closure: Closure,
  lengths: ReadonlyMap<string, number>,
): void {
  for (const runner of site.runners)
    runner.script = (request, response) => {
      const {socket} = response;
      const isFirst = !request.headers['last-event-id'];
      if (request.path.startsWith('/stream/resumed/') && isFirst) {
        response.writeHead(200, {
          ...createSeal(request),
          'content-type': 'text/event-stream',
        });
        response.write(EVENTS[0]);
        return void setTimeout(() => response.destroy(), 5);
      }
      const {bytes} = buildAnswer(request, framing);
      socket!.write(bytes.slice(0, lengths.get(request.attempt)));
      CLOSURES[closure](response);
    };
}

interface CutAnswer {
  readonly length: number;
  readonly answer: Answer;
}

/** Asks for answers that are cut after each number of bytes. */
async function playCuts(
  site: Site,
  entry: Entry,
  path: string,
  framing: Framing,
  closure: Closure,
): Promise<{headLength: number; cuts: CutAnswer[]}> {
  const lengths = new Map<string, number>();
  cutAnswers(site, framing, closure, lengths);
  const isResumed = path.startsWith('/stream/resumed/');
  const sample = {
    attempt: attemptId(),
    path,
    headers: isResumed ? {'last-event-id': '1'} : {},
  } as unknown as ReceivedRequest;
  const {headLength} = buildAnswer(sample, framing);
  const pending = Array.from(
    {length: headLength + CUT_BODY_BYTES},
    (_, index) => index,
  );
  const cuts: CutAnswer[] = [];
  const work = async () => {
    for (;;) {
      const length = pending.shift();
      if (length === undefined) return;
      const id = attemptId().padEnd(sample.attempt.length, '0');
      lengths.set(id, length);
      const headers = {'x-parsleyarch-attempt-id': id};
      const answer = await call(entry, {method: 'POST', path, headers});
      cuts.push({length, answer});
    }
  };
  await Promise.all(Array.from({length: CONCURRENCY}, work));
  return {headLength, cuts};
}

/** Whether a cut answer may look whole: nothing tells that it was cut. */
function isIndistinguishable(
  framing: Framing,
  closure: Closure,
  path: string,
  bodyLength: number,
  {body}: Answer,
): boolean {
  if (framing !== 'neither of them' || closure !== 'closed') return false;
  if (!path.startsWith('/stream/')) return bodyLength >= 0;
  return bodyLength > 0 && body.endsWith('\n\n');
}

for (const [what, {path}] of Object.entries(PATHS)) {
  for (const framing of Object.keys(FRAMINGS) as Framing[]) {
    for (const closure of Object.keys(CLOSURES) as Closure[]) {
      // Guards against a short answer that is framed as a whole one.
      test(`${what} with ${framing} that is ${closure} after any byte is not passed on as whole`, async t => {
        const site = await startCuttingSite(t, 1);
        const [entry] = site.entries;
        const {headLength, cuts} = await playCuts(
          site,
          entry,
          path,
          framing,
          closure,
        );
        const whole = path.startsWith('/stream/')
          ? EVENTS.join('')
          : PLAIN_BODY;
        const short = cuts.filter(({length, answer}) => {
          const {status, complete, body} = answer;
          if (status !== 200 || !complete || body === whole) return false;
          const bodyLength = length - headLength;
          return !isIndistinguishable(
            framing,
            closure,
            path,
            bodyLength,
            answer,
          );
        });
        t.deepEqual(
          short.map(({length, answer}) => [length - headLength, answer.body]),
          [],
        );
      });
    }
  }
}

for (const framing of Object.keys(FRAMINGS) as Framing[]) {
  test(`a plain answer with ${framing} that is cut on its way through a delegate is not passed on as whole`, async t => {
    const site = await startCuttingSite(t, 2);
    const [entry] = site.entries;
    for (const {node} of site.entries)
      await until(() => node.members.size === 2);
    cutOff(entry, 'refused');
    while (!entry.node.reachability.cutOff.has('api'))
      await call(entry, {path: '/once/x', method: 'POST'});
    const {headLength, cuts} = await playCuts(
      site,
      entry,
      '/once/x',
      framing,
      'reset',
    );
    const short = cuts.filter(
      ({answer: {status, complete, body}}) =>
        status === 200 && complete && body !== PLAIN_BODY,
    );
    t.deepEqual(
      short.map(({length}) => length - headLength),
      [],
    );
  });
}

// Guards against answers that the end of their upstream has cut off.
for (const [what, {path}] of Object.entries(PATHS)) {
  test(`${what} with neither a length nor chunks that ends with its upstream is not passed on as whole`, async t => {
    const site = await startCuttingSite(t, 1);
    const [entry] = site.entries;
    for (const runner of site.runners)
      runner.script = (request, response) => {
        const {bytes, headLength} = buildAnswer(request, 'neither of them');
        const isStream = path.startsWith('/stream/');
        const cut = isStream ? EVENTS[0].length : 5;
        response.socket!.end(bytes.slice(0, headLength + cut));
        // A process that ends closes its connections, and then its listener.
        response.socket!.once('close', () => void runner.server.stop());
      };
    const answer = await call(entry, {method: 'POST', path});
    t.false(answer.status === 200 && answer.complete);
  });
}
