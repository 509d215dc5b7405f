/** Helpers for stand-in HTTP servers. */
import * as http from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

/** A server that can reset all its connections at once. */
export interface StandInServer {
  readonly port: number;
  readonly address: string;
  /** Resets every connection; new ones are accepted. */
  resetConnections(): void;
  /** Resets every connection and stops listening until `restart` is called. */
  stop(): Promise<void>;
  restart(): Promise<void>;
  close(): Promise<void>;
}

/** A rejected promise closes the connection. */
export type RequestHandler = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
  url: URL,
) => void | Promise<void>;

/** Starts a server on loopback; port 0 selects a free port. */
export async function startServer(
  port: number,
  handle: RequestHandler,
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
  const listen = (listenPort: number) =>
    new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(listenPort, '127.0.0.1', () => {
        server.off('error', reject);
        resolve();
      });
    });
  await listen(port);
  const boundPort = (server.address() as AddressInfo).port;
  const resetConnections = () => {
    for (const socket of sockets) socket.resetAndDestroy();
  };
  const stop = () =>
    new Promise<void>(resolve => {
      server.close(() => resolve());
      resetConnections();
    });
  return {
    port: boundPort,
    address: `http://127.0.0.1:${boundPort}`,
    resetConnections,
    stop,
    restart: () => listen(boundPort),
    close: () => (server.listening ? stop() : Promise.resolve()),
  };
}

/** Parses a JSON body; an empty body gives `{}`. */
export async function readJson(request: http.IncomingMessage) {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return (text === '' ? {} : JSON.parse(text)) as Record<string, unknown>;
}

export function sendJson(
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

/** Starts a stream of server-sent events. */
export function startEventStream(response: http.ServerResponse): void {
  response.writeHead(200, {'content-type': 'text/event-stream'});
  response.flushHeaders();
}

export function sendEvent(
  response: http.ServerResponse,
  event: string,
  data: unknown,
): void {
  if (response.destroyed) return;
  response.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`);
}

/** Streams load reports, the first at once and then one every `intervalMs`. */
export function streamReports(
  response: http.ServerResponse,
  report: () => unknown,
  intervalMs: number,
): void {
  startEventStream(response);
  sendEvent(response, 'report', report());
  const timer = setInterval(
    () => sendEvent(response, 'report', report()),
    intervalMs,
  );
  response.on('close', () => clearInterval(timer));
}
