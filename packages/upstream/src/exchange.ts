/**
 * HTTP requests to an upstream. Each failure tells whether any byte of the
 * request may have reached the upstream.
 */
import {
  failure,
  messageOf,
  Run,
  type Failure,
} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** An HTTP request to an upstream. */
export interface Call {
  readonly url: URL;
  readonly method: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body?: Buffer;
  readonly agent: http.Agent;
  /** Idle time after which the request fails, milliseconds. */
  readonly idleMs: number;
  readonly signal?: AbortSignal;
}

/**
 * Sends a request and resolves once the response headers have arrived. A
 * failure has `run` set to `not-run` only if no connection was established.
 */
export function sendRequest(
  call: Call,
): Promise<Result<http.IncomingMessage, Failure>> {
  return new Promise(resolve => {
    let mayHaveBeenSent = false;
    const request = http.request(call.url, {
      method: call.method,
      agent: call.agent,
      headers: {
        ...call.headers,
        'content-length': call.body ? call.body.length : 0,
      },
      signal: call.signal,
    });
    const fail = (text: string) => {
      const run = mayHaveBeenSent ? Run.unknown : Run.notRun;
      const kind = mayHaveBeenSent ? 'upstream-lost' : 'no-upstream';
      resolve(err(failure(kind, text, {run})));
    };
    request.on('socket', socket => {
      if (socket.connecting)
        socket.once('connect', () => (mayHaveBeenSent = true));
      else mayHaveBeenSent = true;
    });
    request.setTimeout(call.idleMs, () =>
      request.destroy(
        new Error(`upstream connection idle for ${call.idleMs} ms`),
      ),
    );
    request.on('error', thrown => fail(messageOf(thrown)));
    request.on('response', response => resolve(ok(response)));
    request.end(call.body);
  });
}

/** Reads a complete body; fails if it is truncated or exceeds `limit` bytes. */
export async function readBody(
  response: http.IncomingMessage,
  limit: number,
): Promise<Result<Buffer, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of response) {
      size += chunk.length;
      if (size > limit) {
        response.destroy();
        return err(failure('upstream-invalid', 'response body too large'));
      }
      chunks.push(chunk);
    }
  } catch (thrown) {
    return err(failure('upstream-lost', messageOf(thrown)));
  }
  if (!response.complete) {
    return err(failure('upstream-lost', 'response body truncated'));
  }
  return ok(Buffer.concat(chunks));
}
