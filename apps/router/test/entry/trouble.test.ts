/** Tests of upstreams that send without end, or slowly, or bytes that say nothing. */
import {
  createSeal,
  type RunnerStandIn,
  type Script,
} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import type {ServerResponse} from 'node:http';
import '../exit.js';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
} from './site.js';

const PAUSE_MS = 100;
const OBJECTIVE_MS = 300;
/** Gap after which callers leave a stream on these routes, milliseconds. */
const CALLER_GAP_MS = 2_000;

const STREAM = {
  kind: 'stream',
  goal_ms: OBJECTIVE_MS,
  gap_aim_ms: PAUSE_MS,
  max_attempts: 3,
  timeout_ms: 20_000,
};

async function start(t: ExecutionContext, upstreams: number) {
  const site = await startSite(upstreams);
  t.teardown(() => closeSite(site));
  configure(site, [
    route({timeout_ms: 5_000}),
    route({...STREAM, name: 'plain', path_prefix: '/plain/'}),
    route({
      ...STREAM,
      name: 'resumable',
      path_prefix: '/resumable/',
      resumable: true,
    }),
  ]);
  return {site, entry: await startNode(site)};
}

const CHUNK = Buffer.alloc(64 << 10, 'x');

/** Writes until the other side closes; resolves then. */
function writeForever(
  socket: ServerResponse | Socket,
  chunk = CHUNK,
): Promise<void> {
  return new Promise(resolve => {
    let closed = false;
    const write = () => {
      while (!closed && socket.write(chunk));
    };
    socket.on('drain', write);
    socket.on('error', () => {});
    socket.on('close', () => {
      closed = true;
      resolve();
    });
    write();
  });
}

/** Lets the first request that arrives anywhere be handled by a script. */
function onFirstRequest(
  upstreams: readonly RunnerStandIn[],
  script: Script,
): () => number {
  let count = 0;
  for (const upstream of upstreams)
    upstream.script = (request, response, self) => {
      count += 1;
      if (count === 1) return script(request, response, self);
      response.writeHead(200, createSeal(request));
      return void response.end('sound');
    };
  return () => count;
}

const MAX_GROWTH_BYTES = 64 << 20;

for (const [label, status, fields] of [
  ['an answer', 200, {}],
  ['a failure', 500, {}],
  ['a refusal', 503, {'X-Parsleyarch-Not-Run': '1'}],
  ['an answer that is not sealed', 200, {'X-Parsleyarch-Runner-Seal': ''}],
] as const) {
  test.serial(
    `the body of ${label} without end is cut off, and another upstream serves`,
    async t => {
      const {site, entry} = await start(t, 2);
      let closed: Promise<void> | undefined;
      onFirstRequest(site.runners, (request, response) => {
        const seal = createSeal(request);
        if ('X-Parsleyarch-Runner-Seal' in fields)
          delete seal['X-Parsleyarch-Runner-Seal'];
        else Object.assign(seal, fields);
        response.writeHead(status, seal);
        closed = writeForever(response);
      });
      const before = process.memoryUsage().rss;
      const answer = await call(entry);
      t.is(answer.status, 200);
      t.is(answer.body, 'sound');
      await closed;
      t.true(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
    },
  );
}

test.serial(
  'a head without end is cut off, and another upstream serves',
  async t => {
    const {site, entry} = await start(t, 1);
    const closed: Promise<void>[] = [];
    const server = createServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\n');
      closed.push(
        writeForever(socket, Buffer.from(`X-A: ${'a'.repeat(1_000)}\r\n`)),
      );
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    t.teardown(() => void server.close());
    const {port} = server.address() as AddressInfo;
    site.store.put('servers/i-endless', {
      service: 'api',
      addr: `127.0.0.1:${port}`,
      zone: 'gulberg',
      version: 'v1',
      slots: 8,
      state: 'ready',
      cold_left_ms: 0,
      seq: 1,
      born: 1,
    });
    await until(() => entry.node.upstreams.size === 2);
    const before = process.memoryUsage().rss;
    for (let sent = 0; sent < 10; sent += 1)
      t.is((await call(entry)).status, 200);
    t.true(closed.length > 0);
    await Promise.all(closed);
    t.true(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
  },
);

const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
const openStream = (request: Parameters<Script>[0], response: ServerResponse) =>
  response.writeHead(200, {
    ...createSeal(request),
    'content-type': 'text/event-stream',
  });
const LAST_ID = 3;
const ALL_EVENTS = [1, 2, 3].map(event).join('');

/** Sends all events after the one that the request names, with a pause before each. */
function sendEvents(pauseMs: number): Script {
  return async (request, response) => {
    openStream(request, response);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let id = first; id <= LAST_ID; id += 1) {
      await new Promise(resolve => setTimeout(resolve, pauseMs));
      response.write(event(id));
    }
    response.end();
  };
}

const openCall = (path: string) => ({
  path,
  method: 'POST',
  body: 'p',
  headers: {'x-parsleyarch-deadline-ms': '15000'},
});

test.serial(
  'bytes without end in an event are cut off, and the stream is resumed',
  async t => {
    const {site, entry} = await start(t, 2);
    let closed: Promise<void> | undefined;
    let count = 0;
    for (const upstream of site.runners)
      upstream.script = (request, response, self) => {
        count += 1;
        if (count > 1) return sendEvents(0)(request, response, self);
        openStream(request, response);
        response.write(event(1));
        closed = writeForever(response);
        return undefined;
      };
    const before = process.memoryUsage().rss;
    const answer = await call(entry, openCall('/resumable/x'));
    t.is(answer.body, ALL_EVENTS);
    t.true(answer.complete);
    await closed;
    t.true(process.memoryUsage().rss - before < MAX_GROWTH_BYTES);
  },
);

test.serial(
  'bytes without end in an event end a stream that cannot go on elsewhere',
  async t => {
    const {site, entry} = await start(t, 1);
    site.runners[0].script = (request, response) => {
      openStream(request, response);
      response.write(event(1));
      void writeForever(response);
    };
    const answer = await call(entry, openCall('/plain/x'));
    t.false(answer.complete);
    t.is(answer.body, event(1));
    t.true(answer.tookMs < CALLER_GAP_MS / 2);
  },
);

for (const path of ['/plain/x', '/resumable/x']) {
  test.serial(`a slow but sound stream on ${path} is not cut`, async t => {
    const {site, entry} = await start(t, 1);
    site.runners[0].script = sendEvents(PAUSE_MS * 5);
    const answer = await call(entry, openCall(path));
    t.is(answer.body, ALL_EVENTS);
    t.true(answer.complete);
    t.is(site.runners[0].requests.length, 1);
  });

  test.serial(
    `a stream on ${path} that makes no events ends, though bytes arrive`,
    async t => {
      const {site, entry} = await start(t, 1);
      site.runners[0].script = (request, response) => {
        openStream(request, response);
        response.write(event(1));
        const timer = setInterval(() => response.write(':'), PAUSE_MS / 2);
        response.on('close', () => clearInterval(timer));
      };
      const answer = await call(entry, openCall(path));
      t.false(answer.complete);
      t.true(answer.tookMs > CALLER_GAP_MS * 0.9);
      t.true(answer.tookMs < CALLER_GAP_MS * 1.5);
    },
  );
}

test.serial(
  'a stalled stream is resumed at another upstream, though bytes arrive',
  async t => {
    const {site, entry} = await start(t, 2);
    let count = 0;
    for (const upstream of site.runners)
      upstream.script = (request, response, self) => {
        count += 1;
        if (count > 1) return sendEvents(0)(request, response, self);
        openStream(request, response);
        response.write(event(1));
        const timer = setInterval(() => response.write(':\n'), PAUSE_MS / 2);
        response.on('close', () => clearInterval(timer));
        return undefined;
      };
    const answer = await call(entry, openCall('/resumable/x'));
    t.is(answer.body, ALL_EVENTS);
    t.true(answer.complete);
    t.true(answer.tookMs < CALLER_GAP_MS);
  },
);
