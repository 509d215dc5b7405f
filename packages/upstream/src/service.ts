/** Client for plain (non-model) HTTP services. It never retries a call. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {readBody, sendRequest} from './exchange.js';

/** A call to a plain service. */
export interface ServiceCall {
  readonly requestId: string;
  readonly method: string;
  /** Path and query, relative to the service's address. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Forwarded for services that deduplicate requests themselves. */
  readonly idempotencyKey?: string;
}

/** A service's complete response. */
export interface ServiceResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

/** Settings for calls to plain services. */
export interface ServiceClient {
  readonly node: string;
  readonly idleMs: number;
}

const MAX_RESPONSE_BYTES = 1 << 20;

export function createServiceClient(
  node: string,
  idleMs: number,
): ServiceClient {
  return {node, idleMs};
}

/** Builds the URL of a call. A path such as `//host/` can't change the host. */
function serviceUrl(address: string, path: string): URL {
  const {pathname, search} = new URL(`http://service${path}`);
  const url = new URL(address);
  url.pathname = pathname;
  url.search = search;
  return url;
}

/**
 * Calls a service over a new connection, so that a late or duplicate response
 * to another call cannot be mistaken for the response to this one.
 */
export async function callService(
  client: ServiceClient,
  address: string,
  call: ServiceCall,
  signal: AbortSignal,
): Promise<Result<ServiceResponse, Failure>> {
  const agent = new http.Agent({keepAlive: false});
  const result = await sendRequest({
    url: serviceUrl(address, call.path),
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
  if (result.isErr()) return err(result.error);
  const response = result.value;
  const echoedId = response.headers['x-request-id'];
  if (echoedId !== undefined && echoedId !== call.requestId) {
    response.destroy();
    return err(
      failure('upstream-invalid', 'response carries the ID of another request'),
    );
  }
  const body = await readBody(response, MAX_RESPONSE_BYTES);
  if (body.isErr()) return err(body.error);
  return ok({
    status: response.statusCode ?? 502,
    contentType: response.headers['content-type'] ?? 'application/octet-stream',
    body: body.value,
  });
}
