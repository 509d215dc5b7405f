/** State of one caller's request, from its header to the last byte of the answer. */
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
import {createRunRecord, type RunRecord} from '@parsleyarch/policy/runs';
import {
  Repeatability,
  type KeyHolder,
  type Route,
} from '@parsleyarch/resource/routing';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import type {Delegation} from './delegation.js';
import {acceptsKeys, mayRefuseForGood} from './freshness.js';
import type {EntryNode} from './node.js';
import type {Side} from './versions.js';

/** Time after which a refused caller should retry, milliseconds. */
export const RETRY_AFTER_MS = 300;
/** The same while the configuration is stale: store outages are rarely short. */
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
  /** Version of the configuration by which it was accepted. */
  readonly configuration: number;
  readonly service: string;
  readonly customer?: KeyHolder;
  readonly hasBody: boolean;
  /** The earlier deadline of caller and route; monotonic milliseconds. */
  readonly deadlineAt: number;
  body: Buffer;
  /** Sends so far, including refused ones. */
  sends: number;
  /** Sends that have reached an upstream, including refused ones. */
  arrivals: number;
  /** When the send in progress was counted as a retry; absent if it was not. */
  retryCountedAt?: number;
  /** Which sends may have run it, at upstreams and at delegates. */
  readonly runs: RunRecord;
  /** Ids of the upstreams to which it was sent. */
  readonly triedUpstreams: Set<string>;
  /** Whether another node has delegated it to this one. */
  readonly isDelegated: boolean;
  /** Names of the nodes to which this one has delegated it. */
  readonly triedDelegates: Set<string>;
  /** Old or new version, while a roll-out of its service is under way. */
  side?: Side;
  /** New version of the roll-out under which the side was assigned. */
  rolloutTarget?: string;
  /** Upstreams that ended while they served it. */
  crashes: number;
  /** Keys of this request in the evidence on crashes; computed when needed. */
  crashKeys?: readonly string[];
  /** Culprits among these keys that it is to try again; absent if it tries none. */
  trialKeys?: readonly string[];
  /** Whether it failed on the version that is being rolled out. */
  freshFailed: boolean;
  /** Whether the caller has disconnected or the answer is finished. */
  ended: boolean;
  /** Cancels the attempt in progress. */
  cancel?: (reason: string) => void;
}

const REPEATABLE: ReadonlySet<Repeatability> = new Set([
  Repeatability.idempotent,
  Repeatability.resumable,
]);

/** Whether the request may run more than once. */
export function isRepeatable({runs}: Exchange): boolean {
  return runs.repeatable;
}

/** Whether the answer is a stream of events. */
export function isStream({route}: Exchange): boolean {
  return (
    route.repeatability === Repeatability.stream ||
    route.repeatability === Repeatability.resumable
  );
}

/** Maximum wait for an upstream, as a fraction of the latency objective; at most 1 s. */
const MAX_CAPACITY_WAIT_RATIO = 0.125;

/** Time for which a request may wait until an upstream can accept it, milliseconds. */
export function capacityWaitMs({route}: Exchange): number {
  return Math.min(1_000, route.objectiveMs * MAX_CAPACITY_WAIT_RATIO);
}

/** Priority of a request; that of its customer overrides that of the route. */
export function priorityOf(exchange: Exchange): number {
  return exchange.customer?.priority ?? exchange.route.priority;
}

function createRefusal(kind: FailureKind, message: string): Failure {
  if (!ERROR_RESPONSES[kind].retryable) return failure(kind, message);
  const retryAfterMs =
    kind === 'stale-configuration' ? STALE_RETRY_AFTER_MS : RETRY_AFTER_MS;
  return failure(kind, message, {retryAfterMs});
}

function notConfirmed(): Failure {
  return createRefusal('stale-configuration', 'configuration not confirmed');
}

function refuseForGood(
  node: EntryNode,
  kind: FailureKind,
  message: string,
): Failure {
  return mayRefuseForGood(node) ? createRefusal(kind, message) : notConfirmed();
}

function validateRequest(request: IncomingMessage, caller: CallerRequest) {
  if (!request.url?.startsWith('/'))
    return createRefusal('invalid-request', 'the target must be a path');
  if (caller.duplicateField)
    return createRefusal(
      'invalid-header',
      `header field ${caller.duplicateField} occurs more than once`,
    );
  return undefined;
}

/** Finds the route, customer and service of a request, or the failure to answer with. */
export function createExchange(
  node: EntryNode,
  request: IncomingMessage,
  response: ServerResponse,
  delegation?: Delegation,
): Result<Exchange, Failure> {
  const caller = readRequestHeaders(request.rawHeaders);
  const malformed = validateRequest(request, caller);
  if (malformed) return err(malformed);
  const {routes} = node;
  if (!routes)
    return err(createRefusal('not-ready', 'no configuration received yet'));
  if (delegation && delegation.configuration > routes.table.version)
    return err(
      createRefusal(
        'stale-configuration',
        'earlier than that of the first node',
      ),
    );
  const target = request.url ?? '/';
  const route = findRoute(routes, request.headers.host ?? '', target);
  if (!route)
    return err(
      refuseForGood(node, 'not-found', 'no route for this host and path'),
    );
  // A key may have been withdrawn meanwhile.
  if (!route.isPublic && !acceptsKeys(node)) return err(notConfirmed());
  const admission = authorizeKey(routes.table, route, caller.key);
  if (!admission.authorized)
    return err(refuseForGood(node, 'unauthenticated', 'unknown key'));
  const service = drawService(route, node.random());
  if (!service)
    return err(createRefusal('no-upstream', 'the route has no service'));
  const now = node.clock();
  const waitMs = Math.min(caller.deadlineMs ?? Infinity, route.timeoutMs);
  const transferEncoding = request.headers['transfer-encoding'];
  return ok({
    request,
    response,
    caller,
    method: request.method ?? 'GET',
    target,
    startedAt: now,
    route,
    configuration: routes.table.version,
    service,
    customer: admission.customer,
    hasBody:
      transferEncoding !== undefined ||
      request.headers['content-length'] !== undefined,
    deadlineAt: now + waitMs,
    body: Buffer.alloc(0),
    sends: 0,
    arrivals: 0,
    runs: createRunRecord(
      REPEATABLE.has(route.repeatability),
      Math.min(route.maxAttempts, delegation?.attempts ?? Infinity),
    ),
    triedUpstreams: new Set(),
    isDelegated: delegation !== undefined,
    triedDelegates: new Set(),
    crashes: 0,
    freshFailed: false,
    ended: false,
  });
}
