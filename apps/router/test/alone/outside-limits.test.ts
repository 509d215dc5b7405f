/**
 * Clients outside the limits end no process: it lives, its memory and descriptors
 * stay within its machine, and an ordinary request is answered beside them. Each
 * test runs alone, as memory is measured.
 */
import {createSeal} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
import '../exit.js';
import {configure, route, send, until, type Site} from '../entry/site.js';
import {
  checkNode,
  chunk,
  head,
  KB,
  MB,
  openCrowd,
  sendOrdinary,
  startProcess,
  wait,
  type NodeProcess,
  type Script,
} from './crowd.js';

const MACHINE = {memoryMb: 200, maxDescriptors: 500};
const BODY_BYTES = 1_000_000;
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: BODY_BYTES,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};
/** Bytes of a body that stops short of the limit. */
const SHORT_BYTES = 15 * 64 * KB;
const CROWD = 200;
const CONNECTIONS = 700;
const chunked = {'transfer-encoding': 'chunked'};
const pieces = {piece: Buffer.alloc(64 * KB, 'x'), count: 15};

async function startSmall(
  t: ExecutionContext,
  limits: Record<string, unknown> = {},
  machine = MACHINE,
): Promise<{site: Site; node: NodeProcess}> {
  const started = await startProcess(t, machine);
  const routes = [
    route({timeout_ms: 60_000}),
    route({name: 's', path_prefix: '/s/', kind: 'stream', timeout_ms: 60_000}),
  ];
  configure(started.site, routes, {limits: {...LIMITS, ...limits}});
  await sendOrdinary(started.node.settings.callers);
  return started;
}

const CROWDS: Readonly<Record<string, (index: number) => Script>> = {
  'bodies in large chunks that stop before their end': () => ({
    head: head(chunked),
    piece: chunk(64 * KB),
    count: 15,
  }),
  'bodies in chunks of one byte that stop before their end': () => ({
    head: head(chunked),
    piece: Buffer.from('1\r\nx\r\n'.repeat(KB)),
    count: 30,
  }),
  'bodies that stop one byte short of their length': () => ({
    head: head({'content-length': SHORT_BYTES + 1}),
    ...pieces,
  }),
  'bodies of a length far over the limit': () => ({
    head: head({'content-length': 1e12}),
    ...pieces,
  }),
  'bodies without end': index => ({
    head: head({...chunked, path: index % 2 ? '/unknown' : '/a/x'}),
    piece: index % 4 < 2 ? chunk(64 * KB) : Buffer.from('1\r\nx\r\n'),
    count: Infinity,
  }),
};

for (const [name, scriptFor] of Object.entries(CROWDS)) {
  test.serial(name, async t => {
    const {node} = await startSmall(t);
    await openCrowd(t, node.settings.callers, CROWD, scriptFor);
    await checkNode(t, node);
  });
}

test.serial('many connections with a part of a body each', async t => {
  const {node} = await startSmall(t);
  await openCrowd(t, node.settings.callers, CONNECTIONS, () => ({
    head: head({'content-length': BODY_BYTES}),
    ...pieces,
    count: 3,
  }));
  await checkNode(t, node);
});

test.serial('headers that trickle on many connections', async t => {
  const {node} = await startSmall(t);
  const {callers, delegation} = node.settings;
  const scriptFor = () => ({
    head: `POST /a/x HTTP/1.1\r\nx: ${'x'.repeat(12 * KB)}`,
    trickle: true,
  });
  await Promise.all([
    openCrowd(t, callers, CONNECTIONS / 2, scriptFor),
    openCrowd(t, delegation, CONNECTIONS / 2, scriptFor),
  ]);
  await checkNode(t, node);
});

test.serial('large headers that do not end', async t => {
  const {node} = await startSmall(
    t,
    {},
    {memoryMb: 202, maxDescriptors: 2_069},
  );
  await openCrowd(t, node.settings.callers, 1_500, () => ({
    head: `POST /a/x HTTP/1.1\r\nx: ${'x'.repeat(120 * KB)}`,
    trickle: true,
  }));
  await checkNode(t, node);
});

test.serial('answers that nobody reads', async t => {
  const {site, node} = await startSmall(t);
  const large = Buffer.alloc(4 * MB - KB, 'x');
  for (const runner of site.runners) {
    runner.script = (request, response) => {
      response.writeHead(200, createSeal(request));
      response.end(request.body === 'ordinary' ? '' : large);
    };
  }
  await openCrowd(t, node.settings.callers, CROWD, () => ({
    head: head({method: 'GET'}),
    reads: false,
  }));
  await checkNode(t, node);
});

test.serial('streams that nobody reads', async t => {
  const {site, node} = await startSmall(t);
  const data = 'x'.repeat(256 * KB);
  for (const runner of site.runners) {
    runner.script = async (request, response) => {
      const type = {'content-type': 'text/event-stream'};
      response.writeHead(200, {...createSeal(request), ...type});
      if (!request.path.startsWith('/s/')) return void response.end();
      for (let id = 1; !response.destroyed; id += 1) {
        response.write(`id: ${id}\ndata: ${data}\n\n`);
        await wait(10);
      }
    };
  }
  await openCrowd(t, node.settings.callers, CROWD, () => ({
    head: head({path: '/s/x'}),
    reads: false,
  }));
  await wait(3_000);
  await checkNode(t, node);
});

test.serial('requests sent one after the other without reading', async t => {
  const {site, node} = await startSmall(t);
  for (const runner of site.runners) {
    runner.script = (request, response) => {
      const answer = () =>
        response.writeHead(200, createSeal(request)).end(request.body);
      if (request.body === 'ordinary') answer();
      else setTimeout(answer, 2_000);
    };
  }
  await openCrowd(t, node.settings.callers, 10, () => ({
    head: '',
    piece: Buffer.from(head({method: 'GET'}).repeat(100)),
    count: 10,
    reads: false,
  }));
  await checkNode(t, node);
});

test.serial('delegated bodies that stop before their end', async t => {
  const {site, node} = await startSmall(t);
  const {delegation} = node.settings;
  const item = () => site.store.items.get('router/peer-key');
  await until(() => item() !== undefined);
  const fields = {
    'x-peer-key': Buffer.from(item()!.value!, 'base64').toString(),
    'x-delegated-attempts': 1,
  };
  // The node may learn the key a moment later.
  while ((await send(delegation, {headers: fields})).status !== 200)
    await wait(100);
  await openCrowd(t, delegation, CROWD, () => ({
    head: head({...chunked, ...fields}),
    piece: chunk(64 * KB),
    count: 15,
  }));
  await checkNode(t, node);
});

test.serial('the largest body of the configuration is served', async t => {
  const {site, node} = await startSmall(t, {max_body_bytes: 4 * MB});
  const body = 'x'.repeat(4 * MB);
  const {status} = await sendOrdinary(node.settings.callers, body);
  t.is(status, 200);
  await openCrowd(t, node.settings.callers, 1, () => ({
    head: head(chunked),
    piece: Buffer.concat([...Array(64).fill(chunk(64 * KB)), chunk(0)]),
  }));
  const bodies = site.runners.flatMap(({requests}) => requests);
  t.is(bodies.filter(request => request.body === body).length, 2);
  await checkNode(t, node);
});
