/** Tests of what a node holds for callers, of refused bodies and of slow readers. */
import {createStreamWriter} from '@parsleyarch/router/entry/answer-writer';
import {heldBytes} from '@parsleyarch/router/entry/held-bytes';
import {createEntryNode} from '@parsleyarch/router/entry/node';
import type {Entry} from '@parsleyarch/router/entry/serve';
import {createSeal} from '@parsleyarch/standins/runner';
import {startKeyspace} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import {EventEmitter, once} from 'node:events';
import type {ServerResponse} from 'node:http';
import * as net from 'node:net';
import '../exit.js';
import {
  call,
  closeSite,
  configure,
  route,
  settingsFor,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const KB = 1 << 10;
const HEAD =
  'POST /a/x HTTP/1.1\r\nhost: api.example\r\n' +
  'x-parsleyarch-attempt-id: a\r\nx-parsleyarch-deadline-ms: 1500\r\n';

async function start(
  t: ExecutionContext,
  clients = {},
): Promise<{site: Site; entry: Entry}> {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  const {clients: defaults} = await settingsFor(site.store, 'defaults');
  const entry = await startNode(site, {clients: {...defaults, ...clients}});
  return {site, entry};
}

/** Sends text on a connection of its own; `received` is what came back. */
function open({node}: Entry, text: string) {
  const [host, port] = node.settings.callers.split(':');
  const socket = net.connect({host, port: Number(port)});
  const client = {socket, received: ''};
  socket.on('data', chunk => (client.received += String(chunk)));
  socket.on('error', () => {});
  socket.write(text);
  return client;
}

test('a length over the limit is refused before it is read, and the refusal arrives', async t => {
  const {entry} = await start(t);
  const client = open(entry, `${HEAD}content-length: 1000000000\r\n\r\n`);
  const feed = setInterval(() => client.socket.write('x'.repeat(16 * KB)), 5);
  await once(client.socket, 'close');
  clearInterval(feed);
  t.regex(
    client.received,
    /^HTTP\/1.1 413 .*connection: close.*body-too-large/s,
  );
  t.is(heldBytes(entry.node), 0);
});

test('a body that makes no progress gives up its memory and never runs', async t => {
  const {site, entry} = await start(t, {heldMb: 0.25});
  const part = `${HEAD}content-length: 99000\r\n\r\n${'x'.repeat(95_000)}`;
  const slow = open(entry, part);
  await until(() => heldBytes(entry.node) > 0);
  const later = open(entry, part);
  await until(() => slow.received !== '');
  t.regex(slow.received, /^HTTP\/1.1 503 .*retry-after: .*not-run/s);
  later.socket.write('x'.repeat(4_000));
  await until(() => later.received.startsWith('HTTP/1.1 200'));
  slow.socket.write('x'.repeat(4_000));
  t.is((await call(entry)).status, 200);
  t.is(site.runners[0].requests.length, 2);
});

test('nothing is held after any kind of end', async t => {
  const {site, entry} = await start(t);
  const {node} = entry;
  site.runners[0].script = (request, response) => {
    const answer = () =>
      response.writeHead(200, createSeal(request)).end(request.body);
    setTimeout(answer, request.path === '/a/slow' ? 200 : 0);
  };
  const chunked = `${HEAD}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n`;
  const unfinished = [chunked, `${HEAD}content-length: 9\r\n\r\nx`];
  const ended = [
    ...unfinished.map(text => open(entry, text)),
    open(entry, HEAD.replace('/a/', '/unknown/') + 'content-length: 9\r\n\r\n'),
    open(entry, `${HEAD}\r\n`.replace('/a/x', '/a/slow').repeat(20)),
    open(entry, `${HEAD}\r\n`.replace('/a/x', '/a/slow').repeat(8)),
  ];
  const left = unfinished.map(text => open(entry, text));
  const body = 'x'.repeat(90_000);
  for (let sent = 0; sent < 5; sent += 1)
    t.is((await call(entry, {method: 'POST', body})).body, body);
  for (const {socket} of [...left, ended[4]]) socket.destroy();
  await until(() => ended.slice(0, 4).every(({socket}) => socket.destroyed));
  await until(() => node.active === 0 && node.connections.size === 0);
  t.is(heldBytes(node), 0);
  t.is(node.exchanges.size, 0);
});

/** An answer whose caller takes bytes when told. */
function createUnreadAnswer() {
  const socket = {destroyed: false, destroy: () => (socket.destroyed = true)};
  const answer = Object.assign(new EventEmitter(), {
    writableLength: 0,
    destroyed: false,
    req: {socket},
    write: (bytes: Buffer) => (answer.writableLength += bytes.length) < 0,
    read: (bytes: number) => {
      answer.writableLength -= bytes;
      if (answer.writableLength === 0) answer.emit('drain');
    },
  });
  return answer;
}

test('a slow reader holds its upstream back for a bounded time, and is cut off alone', async t => {
  const store = await startKeyspace();
  t.teardown(() => store.close());
  const node = createEntryNode(await settingsFor(store, 'node'));
  const answers = [createUnreadAnswer(), createUnreadAnswer()];
  const [slow, stuck] = answers.map(answer =>
    createStreamWriter(node, answer as unknown as ServerResponse),
  );
  for (const writer of [slow, stuck]) {
    writer.write(Buffer.alloc(200 * KB));
    t.false(writer.isHeldBack());
    writer.write(Buffer.alloc(100 * KB), 10 * KB);
    t.true(writer.isHeldBack());
  }
  t.is(heldBytes(node), 2 * 310 * KB);
  setTimeout(() => answers[0].read(100 * KB), 100);
  const startedAt = performance.now();
  await Promise.all([slow.waitForReader(), stuck.waitForReader()]);
  t.true(performance.now() - startedAt >= node.settings.clients.heldBackMs);
  t.deepEqual(
    answers.map(({req}) => req.socket.destroyed),
    [false, true],
  );
  answers[0].read(200 * KB);
  answers[1].emit('close');
  t.is(heldBytes(node), 0);
});
