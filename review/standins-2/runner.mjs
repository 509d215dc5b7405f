// A runner as a process of its own. Its behaviour is given as JSON in the first
// argument; it writes what happens as JSON lines, and takes commands as lines:
// `leaving` (say so in all answers) and `exit` (end as a process that has left).
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as wait} from 'node:timers/promises';

const options = {
  id: 'i-0',
  // Time until the header of an answer.
  workMs: 0,
  // Events of a stream; 0 for an answer with a body.
  events: 0,
  gapMs: 100,
  bodyBytes: 200,
  // Whether an answer has neither a length nor chunks.
  unframed: false,
  ...JSON.parse(process.argv[2] ?? '{}'),
};
let leaving = false;

const note = (event, fields = {}) =>
  process.stdout.write(
    `${JSON.stringify({at: Date.now(), runner: options.id, event, ...fields})}\n`,
  );

function headersFor(request) {
  const attempt = request.headers['x-parsleyarch-attempt-id'] ?? '';
  const headers = {
    'X-Parsleyarch-Attempt-Id': attempt,
    'X-Parsleyarch-Runner-Seal': `seal-${attempt}`,
    'Content-Type':
      options.events > 0 ? 'text/event-stream' : 'application/octet-stream',
  };
  if (leaving) headers['Server-Leaving'] = '1';
  if (options.unframed || leaving) headers['Connection'] = 'close';
  return headers;
}

/** Each byte follows from its place. */
const BODY = Buffer.alloc(options.bodyBytes, 'abcdefghijklmnopqrstuvwxyz');

/** Writes an answer that only the end of its channel delimits. */
function openUnframed(request, response) {
  const {socket} = request;
  const lines = Object.entries(headersFor(request)).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  response.detachSocket(socket);
  socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}\r\n`);
  return {write: bytes => socket.write(bytes), end: () => socket.end()};
}

function openFramed(request, response) {
  const headers = headersFor(request);
  if (options.events === 0) headers['Content-Length'] = options.bodyBytes;
  response.writeHead(200, headers);
  response.flushHeaders();
  return response;
}

async function answer(request, response, attempt) {
  const from = Number(request.headers['last-event-id'] ?? 0);
  const isClosed = () => request.socket.destroyed;
  await wait(options.workMs);
  if (isClosed()) return note('left', {attempt});
  const out = options.unframed
    ? openUnframed(request, response)
    : openFramed(request, response);
  for (let id = from + 1; id <= options.events; id += 1) {
    if (isClosed()) return note('left', {attempt, events: id - 1});
    out.write(`id: ${id}\ndata: piece ${id} of ${options.events}\n\n`);
    await wait(options.gapMs);
  }
  if (options.events === 0) out.write(BODY);
  out.end();
  note('done', {attempt});
}

const server = http.createServer((request, response) => {
  if (request.url === '/healthz') {
    response.writeHead(leaving ? 503 : 200, {
      'X-Parsleyarch-Runner-Id': options.id,
    });
    return void response.end();
  }
  const attempt = request.headers['x-parsleyarch-attempt-id'];
  const chunks = [];
  request.on('data', chunk => chunks.push(chunk));
  request.on('end', () => {
    const expected = request.headers['x-parsleyarch-expect-runner'];
    if (expected !== undefined && expected !== options.id) {
      response.writeHead(421, {'X-Parsleyarch-Runner-Id': options.id});
      return void response.end();
    }
    const body = Buffer.concat(chunks).length;
    const last = request.headers['last-event-id'];
    note('run', {attempt, path: request.url, body, last});
    answer(request, response, attempt).catch(() => request.socket.destroy());
  });
});
server.on('connection', socket => socket.on('error', () => {}));
server.listen(0, '127.0.0.1', () =>
  note('listening', {port: server.address().port}),
);

createInterface({input: process.stdin})
  .on('line', line => {
    if (line === 'leaving') leaving = true;
    if (line !== 'exit') return;
    note('exit');
    process.exit(0);
  })
  .on('close', () => process.exit(0));
