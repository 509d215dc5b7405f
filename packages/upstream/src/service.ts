/** Client of plain services: one call, one answer, never repeated here. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {exchange, readBody} from './exchange.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query below the service's address. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Passed on for services that drop repeats themselves. */
  readonly idempotencyKey?: string;
}

/** A service's whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Connections to plain services. */
export interface ServiceClient {
  readonly node: string;
  readonly idleMs: number;
}

const MAX_ANSWER_BYTES = 1 << 20;

/** Creates a client of plain services. */
export function createServiceClient(
  node: string,
  idleMs: number,
): ServiceClient {
  return {node, idleMs};
}

/** A path is never taken for another host, as `//host/` would be. */
function below(address: string, path: string): URL {
  const {pathname, search} = new URL(`http://service${path}`);
  const url = new URL(address);
  url.pathname = pathname;
  url.search = search;
  return url;
}

/**
 * Calls a service over a connection of its own, so that a late or repeated
 * answer to another call cannot be taken for this one's.
 */
export async function callService(
  client: ServiceClient,
  address: string,
  call: ServiceCall,
  signal: AbortSignal,
): Promise<Result<ServiceAnswer, Failure>> {
  const agent = new http.Agent({keepAlive: false});
  const answer = await exchange({
    url: below(address, call.path),
    method: call.method,
    body: call.body,
    agent,
    idleMs: client.idleMs,
    signal,
    headers: {
      'content-type': call.contentType,
      'x-request-id': call.requestId,
      'x-caller': client.node,
      ...(call.idempotencyKey && {'idempotency-key': call.idempotencyKey}),
    },
  });
  if (answer.isErr()) return err(answer.error);
  const response = answer.value;
  const echoed = response.headers['x-request-id'];
  if (echoed !== undefined && echoed !== call.requestId) {
    response.destroy();
    return err(failure('upstream-invalid', 'the answer is to another request'));
  }
  const body = await readBody(response, MAX_ANSWER_BYTES);
  if (body.isErr()) return err(body.error);
  return ok({
    status: response.statusCode ?? 502,
    contentType: response.headers['content-type'] ?? 'application/octet-stream',
    body: body.value,
  });
}
