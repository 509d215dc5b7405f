/**
 * Stand-in for an upstream of the platform, which its headers call a runner;
 * responses are scripted.
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {startServer, type StandInServer} from './http.js';
import type {KeyspaceStandIn} from './keyspace.js';

/** A request as an upstream received it. */
export interface ReceivedRequest {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  /** Time of receipt, by `performance.now()`. */
  readonly at: number;
  /** Whether the connection closed before the response was complete. */
  aborted: boolean;
}

/** Handler of a request; the default responds with 200. */
export type Script = (
  request: ReceivedRequest,
  response: ServerResponse,
  runner: RunnerStandIn,
) => void | Promise<void>;

export interface RunnerStandIn {
  readonly id: string;
  readonly server: StandInServer;
  readonly requests: ReceivedRequest[];
  script?: Script;
  /** Creates or updates the registration in the store. */
  register(fields?: Record<string, unknown>): void;
  deregister(): void;
  close(): Promise<void>;
}

/** Builds the headers that prove that a response comes from the upstream itself. */
export function createSeal(request: ReceivedRequest): Record<string, string> {
  return {
    'X-Parsleyarch-Attempt-Id': request.attempt,
    'X-Parsleyarch-Runner-Seal': `seal-${request.attempt}`,
  };
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Starts an unregistered upstream on loopback. */
export async function startRunner(
  store: KeyspaceStandIn,
  id: string,
  registration: Record<string, unknown> = {},
): Promise<RunnerStandIn> {
  const server = await startServer(0, async (request, response) => {
    const received: ReceivedRequest = {
      attempt: String(request.headers['x-parsleyarch-attempt-id'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: await readText(request),
      at: performance.now(),
      aborted: false,
    };
    response.on('close', () => {
      received.aborted = !response.writableFinished;
    });
    if (request.headers['x-parsleyarch-expect-runner'] !== id) {
      response.writeHead(421, {'X-Parsleyarch-Runner-Id': id}).end();
      return;
    }
    runner.requests.push(received);
    if (runner.script) return runner.script(received, response, runner);
    response
      .writeHead(200, createSeal(received))
      .end(`${id} ran ${received.attempt}`);
  });
  const runner: RunnerStandIn = {
    id,
    server,
    requests: [],
    register: (fields = {}) =>
      void store.put(`servers/${id}`, {
        service: 'api',
        addr: `127.0.0.1:${server.port}`,
        zone: 'gulberg',
        version: 'v1',
        slots: 8,
        state: 'ready',
        cold_left_ms: 0,
        seq: 1,
        born: 1,
        ...registration,
        ...fields,
      }),
    deregister: () => store.remove(`servers/${id}`),
    close: () => server.close(),
  };
  return runner;
}
