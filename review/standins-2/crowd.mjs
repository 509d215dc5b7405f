// Clients in a process of their own: each sends a request with a chunked body, stops
// short of its end and stays open.
import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import process from 'node:process';

const {address, clients, bodyBytes, chunkBytes} = JSON.parse(process.argv[2]);
const [host, port] = address.split(':');
const CHUNK = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`;
/** Chunks that are written at a time: 64 KB of a body or less. */
const CHUNKS = Math.max(1, Math.floor(8_192 / chunkBytes));
const PIECE = Buffer.from(CHUNK.repeat(CHUNKS));

function openClient(index) {
  const socket = net.connect({host, port: Number(port)});
  socket.on('error', () => {});
  socket.resume();
  socket.write(
    `POST /a/crowd HTTP/1.1\r\nHost: api.example\r\nX-Parsleyarch-Attempt-Id: crowd-${index}\r\n` +
      'X-Parsleyarch-Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n',
  );
  let left = bodyBytes;
  const push = () => {
    const perPiece = CHUNKS * chunkBytes;
    while (!socket.destroyed && left > perPiece) {
      left -= perPiece;
      if (!socket.write(PIECE)) return;
    }
  };
  socket.on('drain', push);
  push();
}

for (let index = 0; index < clients; index += 1) openClient(index);
process.stdin.on('end', () => process.exit(0)).resume();
