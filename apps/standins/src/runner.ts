/** Stand-in of the platform's upstreams, with scripted answers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {startServer, type StandInServer} from './http.js';
import type {KeyspaceStandIn} from './keyspace.js';

/** A request as an upstream saw it. */
export interface SeenRequest {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
  readonly at: number;
  /** Whether the caller's side has gone. */
  gone: boolean;
}

/** Answers a request; without one, a plain success is sent. */
export type Script = (
  seen: SeenRequest,
  response: ServerResponse,
  runner: RunnerStandIn,
) => void | Promise<void>;

/** One upstream that runs. */
export interface RunnerStandIn {
  readonly id: string;
  readonly server: StandInServer;
  readonly seen: SeenRequest[];
  script?: Script;
  /** Registers it in the store, or changes its entry. */
  register(fields?: Record<string, unknown>): void;
  leave(): void;
  close(): Promise<void>;
}

/** Header that makes an answer the upstream's own. */
export function seal(seen: SeenRequest): Record<string, string> {
  return {
    'X-Parsleyarch-Attempt-Id': seen.attempt,
    'X-Parsleyarch-Runner-Seal': `seal-${seen.attempt}`,
  };
}

async function readText(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
}

/** Starts an upstream on loopback; it is not registered yet. */
export async function startRunner(
  store: KeyspaceStandIn,
  id: string,
  entry: Record<string, unknown> = {},
): Promise<RunnerStandIn> {
  const server = await startServer(0, async (request, response) => {
    const seen: SeenRequest = {
      attempt: String(request.headers['x-parsleyarch-attempt-id'] ?? ''),
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: await readText(request),
      at: performance.now(),
      gone: false,
    };
    response.on('close', () => {
      seen.gone = !response.writableFinished;
    });
    if (request.headers['x-parsleyarch-expect-runner'] !== id) {
      response.writeHead(421, {'X-Parsleyarch-Runner-Id': id}).end();
      return;
    }
    runner.seen.push(seen);
    if (runner.script) return runner.script(seen, response, runner);
    response.writeHead(200, seal(seen)).end(`${id} ran ${seen.attempt}`);
  });
  const runner: RunnerStandIn = {
    id,
    server,
    seen: [],
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
        ...entry,
        ...fields,
      }),
    leave: () => store.remove(`servers/${id}`),
    close: () => server.close(),
  };
  return runner;
}
