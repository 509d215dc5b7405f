/** Responses and request bodies of the listeners for callers and operators. */
import {
  ERROR_RESPONSES,
  failure,
  raise,
  type Failure,
} from '@parsleyarch/errors/failure';
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ok, type Result} from 'neverthrow';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';

/** Maximum size of a request body from a caller or an operator. */
const MAX_BODY_BYTES = 1 << 20;
const MS_PER_SECOND = 1_000;

/** JSON body of an error response to a caller or an operator. */
export function errorBody(problem: Failure, requestId: string) {
  return {
    error: {
      kind: problem.kind,
      message: problem.message,
      run: problem.run,
      retryable: ERROR_RESPONSES[problem.kind].retryable,
      retryAfterMs: problem.retryAfterMs,
      requestId,
    },
  };
}

/** Does nothing if the headers are sent or the connection is closed. */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    'content-type': 'application/json; charset=utf-8',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Counts a refusal or a broken response and records it as a decision. */
export function recordFailure(
  node: RouterNode,
  problem: Failure,
  requestId: string,
): void {
  node.metrics.refusals.inc({kind: problem.kind});
  if (requestId === '') return;
  recordDecision(node, {
    decision: 'refuse',
    requestId,
    choice: problem.kind,
    reason: problem.message,
    run: problem.run,
    retryAfterMs: problem.retryAfterMs,
  });
}

/** Sends a failure with its status from `ERROR_RESPONSES`. */
export function sendFailure(
  node: RouterNode,
  response: ServerResponse,
  problem: Failure,
  requestId: string,
): void {
  recordFailure(node, problem, requestId);
  const headers: Record<string, string> = {'x-request-id': requestId};
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
    headers['retry-after'] = String(seconds);
  }
  if (problem.kind === 'body-too-large') headers['connection'] = 'close';
  const {status} = ERROR_RESPONSES[problem.kind];
  sendJson(response, status, errorBody(problem, requestId), headers);
}

/** Reads a request body of at most `MAX_BODY_BYTES`. */
export async function readRequestBody(
  request: IncomingMessage,
): Promise<Result<Buffer, Failure>> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) {
        return raise(
          'body-too-large',
          `the request body exceeds ${MAX_BODY_BYTES} bytes`,
        );
      }
      chunks.push(chunk);
    }
  } catch {
    return raise('invalid-request', 'the request body ended early');
  }
  return ok(Buffer.concat(chunks));
}

/** Parses a JSON body; rejects invalid UTF-8. */
export function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    return ok(JSON.parse(text));
  } catch {
    return raise('invalid-json', 'the body is not valid JSON in UTF-8');
  }
}

/** SHA-256 of a bearer key, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Hash of the bearer key of a request. */
export function bearerHash(request: IncomingMessage): Result<string, Failure> {
  const header = request.headers.authorization ?? '';
  if (!header.startsWith('Bearer '))
    return raise('unauthenticated', 'a bearer key is required');
  return ok(hashKey(header.slice('Bearer '.length)));
}

/** Compares two hashes in constant time. */
export function sameHash(a: string, b: string): boolean {
  const [left, right] = [Buffer.from(a), Buffer.from(b)];
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Limits against slow and oversized requests, for both listeners. */
export const LISTENER_LIMITS = {
  headersTimeout: 5_000,
  requestTimeout: 15_000,
  maxHeaderSize: 16_384,
  connectionsCheckingInterval: 1_000,
} as const;

const CLIENT_ERRORS: Readonly<Record<string, Failure>> = {
  HPE_HEADER_OVERFLOW: failure('invalid-header', 'the headers are too large'),
  ERR_HTTP_REQUEST_TIMEOUT: failure(
    'request-timeout',
    'the request was not received in time',
  ),
};

/** Responds to a request that the HTTP parser rejected or that timed out. */
export function answerClientError(
  error: NodeJS.ErrnoException,
  socket: NodeJS.WritableStream & {readonly writable: boolean},
): void {
  if (!socket.writable || error.code === 'ECONNRESET') return;
  const problem =
    CLIENT_ERRORS[error.code ?? ''] ??
    failure('invalid-request', 'the request is not valid HTTP');
  const body = JSON.stringify(errorBody(problem, ''));
  const {status} = ERROR_RESPONSES[problem.kind];
  socket.end(
    `HTTP/1.1 ${status} Refused\r\nconnection: close\r\n` +
      'content-type: application/json; charset=utf-8\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
