/** One request of a caller, from its header to its last byte. */
import {
  ERROR_RESPONSES,
  failure,
  type Failure,
  type FailureKind,
} from '@parsleyarch/errors/failure';
import {
  readRequestHeaders,
  type CallerRequest,
} from '@parsleyarch/platform/headers';
import {authorizeKey, drawService, findRoute} from '@parsleyarch/policy/routes';
import {
  Repeatability,
  type KeyHolder,
  type Route,
} from '@parsleyarch/resource/routing';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {acceptsKeys} from './freshness.js';
import type {EntryNode} from './node.js';
import type {Side} from './versions.js';

/** Time after which a refused caller may find things changed, milliseconds. */
export const RETRY_AFTER_MS = 300;
/** The same while the store is away, which is rarely over at once. */
const STALE_RETRY_AFTER_MS = 1_200;

/** A request that is being served. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly target: string;
  readonly startedAt: number;
  readonly route: Route;
  readonly service: string;
  readonly customer?: KeyHolder;
  readonly hasBody: boolean;
  /** When the caller or the route no longer waits; monotonic milliseconds. */
  readonly endsAt: number;
  body: Buffer;
  /** Sends so far, refused ones included. */
  sends: number;
  /** Sends that may have run. */
  runs: number;
  /** Upstreams to which it was sent. */
  readonly tried: Set<string>;
  /** Side of the roll-out of its service, while there is one. */
  side?: Side;
  /** Whether the version that is rolled out failed it. */
  freshFailed: boolean;
  /** The caller has left, or the last answer was given. */
  ended: boolean;
  /** Ends the send that runs. */
  cancel?: (reason: string) => void;
}

/** Whether an attempt of the caller may run more than once. */
export function isRepeatable({route}: Exchange): boolean {
  return (
    route.repeatability === Repeatability.idempotent ||
    route.repeatability === Repeatability.resumable
  );
}

/** Whether the answer is a stream of events. */
export function isStream({route}: Exchange): boolean {
  return (
    route.repeatability === Repeatability.stream ||
    route.repeatability === Repeatability.resumable
  );
}

/** The rank of a request; a customer's own goes before the route's. */
export function priorityOf(exchange: Exchange): number {
  return exchange.customer?.priority ?? exchange.route.priority;
}

function refuse(kind: FailureKind, message: string): Failure {
  if (!ERROR_RESPONSES[kind].retryable) return failure(kind, message);
  const retryAfterMs =
    kind === 'stale-configuration' ? STALE_RETRY_AFTER_MS : RETRY_AFTER_MS;
  return failure(kind, message, {retryAfterMs});
}

function checkForm(request: IncomingMessage, caller: CallerRequest) {
  if (!request.url?.startsWith('/'))
    return refuse('invalid-request', 'the target must be a path');
  if (caller.duplicateField)
    return refuse('invalid-header', `${caller.duplicateField} stands twice`);
  return undefined;
}

/** Finds the route, customer and service of a request, or why it is refused. */
export function openExchange(
  node: EntryNode,
  request: IncomingMessage,
  response: ServerResponse,
): Result<Exchange, Failure> {
  const caller = readRequestHeaders(request.rawHeaders);
  const malformed = checkForm(request, caller);
  if (malformed) return err(malformed);
  const {routes} = node;
  if (!routes) return err(refuse('not-ready', 'no configuration yet'));
  // Refusals for good need a configuration that is known to be current.
  const current = acceptsKeys(node);
  const target = request.url ?? '/';
  const route = findRoute(routes, request.headers.host ?? '', target);
  if (!current && (!route || !route.isPublic))
    return err(refuse('stale-configuration', 'configuration not confirmed'));
  if (!route) return err(refuse('not-found', 'no route'));
  const admission = authorizeKey(routes.table, route, caller.key);
  if (!admission.authorized)
    return err(refuse('unauthenticated', 'unknown key'));
  const service = drawService(route, node.random());
  if (!service) return err(refuse('no-upstream', 'the route has no service'));
  const now = node.clock();
  const waitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
  const framing = request.headers['transfer-encoding'];
  return ok({
    request,
    response,
    caller,
    method: request.method ?? 'GET',
    target,
    startedAt: now,
    route,
    service,
    customer: admission.customer,
    hasBody:
      framing !== undefined || request.headers['content-length'] !== undefined,
    endsAt: now + waitMs,
    body: Buffer.alloc(0),
    sends: 0,
    runs: 0,
    tried: new Set(),
    freshFailed: false,
    ended: false,
  });
}

/** Reads a whole body within the bound; `undefined`: the caller left. */
export async function readBody(
  node: EntryNode,
  request: IncomingMessage,
): Promise<Result<Buffer | undefined, Failure>> {
  const bound = node.routes?.table.limits.bodyBytes ?? 0;
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > bound)
        return err(failure('body-too-large', `a body may have ${bound} bytes`));
      chunks.push(chunk);
    }
  } catch {
    return ok(undefined);
  }
  return ok(request.complete ? Buffer.concat(chunks) : undefined);
}
