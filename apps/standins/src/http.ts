/** Small helpers for stand-in HTTP servers. */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** A server whose connections can all be cut at once. */
export interface StandInServer {
  readonly port: number;
  readonly address: string;
  /** Cuts every connection; new ones are accepted. */
  cutAll(): void;
  /** Cuts every connection and accepts no new ones until `open`. */
  shut(): Promise<void>;
  open(): Promise<void>;
  close(): Promise<void>;
}

/** What a stand-in does on a request. */
export type Handle = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  url: URL,
) => void | Promise<void>;

/** Starts a server on loopback; port 0 takes a free one. */
export async function startServer(
  port: number,
  handle: Handle,
): Promise<StandInServer> {
  const sockets = new Set<Socket>();
  const server = http.createServer((request, response) => {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    Promise.resolve(handle(request, response, url)).catch(() =>
      request.socket.destroy(),
    );
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
  });
  const listen = (on: number) =>
    new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(on, '127.0.0.1', () => {
        server.off('error', reject);
        resolve();
      });
    });
  await listen(port);
  const bound = (server.address() as AddressInfo).port;
  const cutAll = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  const shut = () =>
    new Promise<void>(resolve => {
      server.close(() => resolve());
      cutAll();
    });
  return {
    port: bound,
    address: `http://127.0.0.1:${bound}`,
    cutAll,
    shut,
    open: () => listen(bound),
    close: () => (server.listening ? shut() : Promise.resolve()),
  };
}

/** Reads a JSON body. */
export async function readJson(request: http.IncomingMessage) {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

/** Sends a JSON answer. */
export function reply(
  response: http.ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Begins a stream of server-sent events. */
export function beginEvents(response: http.ServerResponse): void {
  response.writeHead(200, {'content-type': 'text/event-stream'});
  response.flushHeaders();
}

/** Sends one event. */
export function sendEvent(
  response: http.ServerResponse,
  event: string,
  data: unknown,
): void {
  if (response.destroyed) return;
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}

/** Streams load reports of a server once and then on a period. */
export function streamReports(
  response: http.ServerResponse,
  report: () => unknown,
  periodMs: number,
): void {
  beginEvents(response);
  sendEvent(response, 'report', report());
  const timer = setInterval(
    () => sendEvent(response, 'report', report()),
    periodMs,
  );
  response.on('close', () => clearInterval(timer));
}
