/**
 * Tests of a node whose event loop is behind: closes of callers lie in the kernel
 * together with their requests. The callers run in a process of their own.
 */
import test from 'ava';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
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

const LEAVING_COUNT = 60;
const STAYING_COUNT = 10;
const BLOCK_MS = 1_500;
const LEAVE_AFTER_MS = 400;

/** Callers that connect and send at once; those of `/a/leaving` leave soon. */
const CALLERS = `
const net = require('node:net');
const [port, leaving, staying, leaveMs] = process.argv.slice(1).map(Number);
let answers = 0;
function open(path, index) {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write('GET /a/' + path + ' HTTP/1.1\\r\\nHost: api.example\\r\\n' +
    'X-Parsleyarch-Attempt-Id: ' + path + index + '\\r\\n' +
    'X-Parsleyarch-Deadline-Ms: 5000\\r\\n\\r\\n');
  return socket;
}
process.stdin.once('data', () => {
  for (let index = 0; index < leaving; index += 1) {
    const socket = open('leaving', index);
    setTimeout(() => socket.destroy(), leaveMs);
  }
  for (let index = 0; index < staying; index += 1) {
    open('staying', index).once('data', bytes => {
      if (String(bytes).startsWith('HTTP/1.1 200')) answers += 1;
      if (answers === staying) console.log('answered');
    });
  }
});
console.log('ready');
`;

function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

test('requests whose callers left while the event loop was blocked are not sent', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({timeout_ms: 10_000})]);
  const entry = await startNode(site);
  t.is((await call(entry)).status, 200);
  const port = entry.node.settings.callers.split(':')[1];
  const callers = spawn(process.execPath, [
    '-e',
    CALLERS,
    ...[port, LEAVING_COUNT, STAYING_COUNT, LEAVE_AFTER_MS].map(String),
  ]);
  t.teardown(() => callers.kill());
  await once(callers.stdout, 'data');
  const answered = once(callers.stdout, 'data');
  callers.stdin.write('go');
  block(BLOCK_MS);
  await answered;
  await until(() => entry.node.active === 0);
  const paths = site.runners.flatMap(({requests}) =>
    requests.map(({path}) => path),
  );
  t.is(paths.filter(path => path === '/a/staying').length, STAYING_COUNT);
  t.is(paths.filter(path => path === '/a/leaving').length, 0);
});
