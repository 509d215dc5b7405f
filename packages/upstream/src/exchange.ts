/**
 * One HTTP exchange with an upstream, which always knows whether any byte of
 * the request may have reached it.
 */
import {
  failure,
  messageOf,
  Run,
  type Failure,
} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';

/** A request to an upstream. */
export interface Call {
  readonly url: URL;
  readonly method: string;
  readonly headers: http.OutgoingHttpHeaders;
  readonly body?: Buffer;
  readonly agent: http.Agent;
  /** Longest silence before the upstream counts as lost, milliseconds. */
  readonly idleMs: number;
  readonly signal?: AbortSignal;
}

/**
 * Sends a call and resolves once the answer's head is there. A failure says
 * `not-run` only when the connection was never made.
 */
export function exchange(
  call: Call,
): Promise<Result<http.IncomingMessage, Failure>> {
  return new Promise(resolve => {
    let mayHaveLeft = false;
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
      const run = mayHaveLeft ? Run.unknown : Run.notRun;
      const kind = mayHaveLeft ? 'upstream-lost' : 'no-upstream';
      resolve(err(failure(kind, text, {run})));
    };
    request.on('socket', socket => {
      if (socket.connecting) socket.once('connect', () => (mayHaveLeft = true));
      else mayHaveLeft = true;
    });
    request.setTimeout(call.idleMs, () =>
      request.destroy(new Error(`silent for ${call.idleMs} ms`)),
    );
    request.on('error', thrown => fail(messageOf(thrown)));
    request.on('response', response => resolve(ok(response)));
    request.end(call.body);
  });
}

/** Reads a whole body up to a bound; a cut or larger body is a failure. */
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
        return err(failure('upstream-invalid', 'the answer is too large'));
      }
      chunks.push(chunk);
    }
  } catch (thrown) {
    return err(failure('upstream-lost', messageOf(thrown)));
  }
  if (!response.complete) {
    return err(failure('upstream-lost', 'the answer was cut'));
  }
  return ok(Buffer.concat(chunks));
}
