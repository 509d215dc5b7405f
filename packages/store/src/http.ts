/** One HTTP call with a JSON body and a time limit. */
import * as http from 'node:http';

/** A call to a store. */
export interface StoreCall {
  readonly method: string;
  /** Path with its query. */
  readonly path: string;
  readonly body?: unknown;
  readonly headers?: http.OutgoingHttpHeaders;
}

/** An answer; `body` is parsed JSON, `undefined` if it was empty. */
export interface Reply {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: unknown;
}

/** Address of a store, with its connection pool. */
export interface Endpoint {
  readonly address: URL;
  readonly agent: http.Agent;
}

/** Maximum size of an answer; a page of a range has about 1 MB. */
const MAX_REPLY_BYTES = 16 << 20;

function parseBody(chunks: readonly Buffer[]): unknown {
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

function headersOf(call: StoreCall, payload: string | undefined) {
  if (payload === undefined) return {...call.headers};
  return {
    ...call.headers,
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(payload),
  };
}

/**
 * Closes the idle connections. One that got no answer in time may have fallen silent
 * for good, and then the others have most likely done so too.
 */
function closeIdleConnections({freeSockets}: http.Agent): void {
  for (const sockets of Object.values(freeSockets)) {
    for (const socket of [...(sockets ?? [])]) socket.destroy();
  }
}

/**
 * Sends a call and waits for the complete answer. Rejects if none arrives in time
 * or it is not JSON; the call may have been applied all the same.
 */
export function sendCall(
  {address, agent}: Endpoint,
  call: StoreCall,
  timeoutMs: number,
): Promise<Reply> {
  return new Promise((resolve, reject) => {
    const payload =
      call.body === undefined ? undefined : JSON.stringify(call.body);
    const request = http.request(
      new URL(call.path, address),
      {method: call.method, agent, headers: headersOf(call, payload)},
      response => {
        const chunks: Buffer[] = [];
        let size = 0;
        response.on('data', (chunk: Buffer) => {
          chunks.push(chunk);
          size += chunk.length;
          if (size > MAX_REPLY_BYTES)
            response.destroy(new Error('the answer is too large'));
        });
        response.on('error', reject);
        response.on('close', () =>
          reject(new Error('connection closed before the end of the answer')),
        );
        response.on('end', () => {
          try {
            const body = parseBody(chunks);
            const {statusCode: status = 0, headers} = response;
            resolve({status, headers, body});
          } catch (thrown) {
            reject(thrown);
          }
        });
      },
    );
    const timer = setTimeout(() => {
      request.destroy(new Error(`no complete answer within ${timeoutMs} ms`));
      closeIdleConnections(agent);
    }, timeoutMs);
    request.on('close', () => clearTimeout(timer));
    request.on('error', reject);
    request.end(payload);
  });
}
