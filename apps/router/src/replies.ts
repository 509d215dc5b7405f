/** Answers of both listeners: errors by the table, bodies within bounds. */
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

/** Largest body that a caller or an operator may send. */
const MAX_BODY_BYTES = 1 << 20;
const MS_PER_SECOND = 1_000;

/** An error as callers and operators see it. */
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

/** Sends a JSON answer. */
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

/** Notes a refusal or a broken answer among the decisions of its request. */
export function noteFailure(
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

/** Sends the answer that the table gives for a failure. */
export function sendFailure(
  node: RouterNode,
  response: ServerResponse,
  problem: Failure,
  requestId: string,
): void {
  noteFailure(node, problem, requestId);
  const headers: Record<string, string> = {'x-request-id': requestId};
  if (problem.retryAfterMs !== undefined) {
    const seconds = Math.ceil(problem.retryAfterMs / MS_PER_SECOND);
    headers['retry-after'] = String(seconds);
  }
  if (problem.kind === 'body-too-large') headers['connection'] = 'close';
  const {status} = ERROR_RESPONSES[problem.kind];
  sendJson(response, status, errorBody(problem, requestId), headers);
}

/** Reads a request body within the bound. */
export async function readRequest(
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
          `a body may have ${MAX_BODY_BYTES} bytes at most`,
        );
      }
      chunks.push(chunk);
    }
  } catch {
    return raise('invalid-request', 'the body was cut');
  }
  return ok(Buffer.concat(chunks));
}

/** Decodes and parses a JSON body. */
export function parseJson(body: Buffer): Result<unknown, Failure> {
  try {
    const text = new TextDecoder('utf-8', {fatal: true}).decode(body);
    return ok(JSON.parse(text));
  } catch {
    return raise('invalid-json', 'the body is not JSON in UTF-8');
  }
}

/** SHA-256 of a bearer key, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** The key hash of a request, or why there is none. */
export function bearerHash(request: IncomingMessage): Result<string, Failure> {
  const header = request.headers.authorization ?? '';
  if (!header.startsWith('Bearer '))
    return raise('unauthenticated', 'a bearer key is needed');
  return ok(hashKey(header.slice('Bearer '.length)));
}

/** Compares two hashes in constant time. */
export function sameHash(a: string, b: string): boolean {
  const [left, right] = [Buffer.from(a), Buffer.from(b)];
  return left.length === right.length && timingSafeEqual(left, right);
}

/** Bounds against slow and oversized requests, for either listener. */
export const LISTENER_BOUNDS = {
  headersTimeout: 5_000,
  requestTimeout: 15_000,
  maxHeaderSize: 16_384,
  connectionsCheckingInterval: 1_000,
} as const;

const CLIENT_ERRORS: Readonly<Record<string, Failure>> = {
  HPE_HEADER_OVERFLOW: failure('invalid-header', 'the headers are too large'),
  ERR_HTTP_REQUEST_TIMEOUT: failure(
    'request-timeout',
    'the request came too slowly',
  ),
};

/** Answers a connection whose request could not be read at all. */
export function answerClientError(
  error: NodeJS.ErrnoException,
  socket: NodeJS.WritableStream & {readonly writable: boolean},
): void {
  if (!socket.writable || error.code === 'ECONNRESET') return;
  const problem =
    CLIENT_ERRORS[error.code ?? ''] ??
    failure('invalid-request', 'the request is not HTTP');
  const body = JSON.stringify(errorBody(problem, ''));
  const {status} = ERROR_RESPONSES[problem.kind];
  socket.end(
    `HTTP/1.1 ${status} Refused\r\nconnection: close\r\n` +
      'content-type: application/json; charset=utf-8\r\n' +
      `content-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`,
  );
}
