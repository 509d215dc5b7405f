/** Context of a caller's request: customer, session, deadline, key. */
import {failure, raise, type Failure} from '@parsleyarch/errors/failure';
import {Freshness} from '@parsleyarch/protocol/freshness';
import {takeRateToken} from '@parsleyarch/policy/admission';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import type {CustomerSpec, Resource} from '@parsleyarch/resource/schema';
import type {IncomingMessage} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {recordDecision} from './decisions.js';
import {
  assessNodeFreshness,
  listLiveNodeNames,
  createRequestId,
  type RouterNode,
} from './node.js';
import {bearerHash, sameHash} from './replies.js';
import {
  createSession,
  createCallerSession,
  verifyToken,
  type Session,
} from './sessions.js';

const DEFAULT_DEADLINE_MS = 30_000;
const MAX_DEADLINE_MS = 120_000;
const DEFAULT_TASK_CLASS = 'general';
const STALE_RETRY_AFTER_MS = 2_000;

const Headers = z.object({
  'x-deadline-ms': z.coerce
    .number()
    .int()
    .positive()
    .max(MAX_DEADLINE_MS)
    .default(DEFAULT_DEADLINE_MS),
  'x-quality-target': z.coerce.number().min(0).max(1).optional(),
  'x-task-class': z
    .string()
    .regex(/^[a-z0-9-]{1,40}$/)
    .default(DEFAULT_TASK_CLASS),
  'x-session': z.string().max(4_096).optional(),
  'x-session-id': z.string().min(1).max(200).optional(),
  'idempotency-key': z
    .string()
    .regex(/^[\x21-\x7e]{1,128}$/)
    .optional(),
});

/** Tokens generated for a request so far. */
export interface TokenUsage {
  readonly version: string;
  readonly tokens: number;
}

/** One request of a caller. */
export interface Context {
  readonly requestId: string;
  readonly customer: string;
  readonly taskClass: string;
  /** Requested mean quality, in [0, 1]. */
  readonly qualityTarget?: number;
  /** Local monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly session: Session;
  readonly idempotencyKey?: string;
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly abort: AbortController;
  usage?: TokenUsage;
}

/** Finds the customer that the key belongs to. */
function authenticate(
  node: RouterNode,
  request: IncomingMessage,
): Result<Resource<'Customer'>, Failure> {
  const hash = bearerHash(request);
  if (hash.isErr()) return err(hash.error);
  let found: Resource<'Customer'> | undefined;
  for (const customer of listResources(node.configuration, 'Customer')) {
    for (const keyHash of customer.spec.keyHashes)
      if (sameHash(keyHash, hash.value)) found = customer;
  }
  return found ? ok(found) : raise('unauthenticated', 'unknown key');
}

/**
 * Returns why this node accepts no requests now, if so. A stopping node still
 * serves requests, since the load balancer stops sending them with a delay.
 */
export function checkReady(node: RouterNode): Failure | undefined {
  if (assessNodeFreshness(node) !== Freshness.stale) return undefined;
  return failure(
    'stale-configuration',
    'this node cannot confirm its configuration',
    {retryAfterMs: STALE_RETRY_AFTER_MS},
  );
}

function checkRateLimit(
  node: RouterNode,
  customer: Resource<'Customer'>,
): Failure | undefined {
  const {bucket, admitted, retryAfterMs} = takeRateToken(
    node.rateLimits.get(customer.name),
    customer.spec.requestsPerSecond,
    listLiveNodeNames(node).length,
    node.clock(),
  );
  node.rateLimits.set(customer.name, bucket);
  if (admitted) return undefined;
  recordDecision(node, {
    decision: 'admit',
    customer: customer.name,
    choice: 'rate-limited',
    reason: `${customer.spec.requestsPerSecond} requests/s over all nodes`,
  });
  return failure('rate-limited', 'the customer sends too many requests', {
    retryAfterMs,
  });
}

function resolveSession(
  node: RouterNode,
  customer: string,
  headers: z.infer<typeof Headers>,
): Session {
  const token = headers['x-session'];
  const verified = token && verifyToken(node, token, customer);
  if (verified) return verified;
  const callerId = headers['x-session-id'];
  return callerId
    ? createCallerSession(customer, `${customer}/${callerId}`)
    : createSession(customer);
}

/** Checks that the node is ready, and the request's headers, key and rate. */
export function createContext(
  node: RouterNode,
  request: IncomingMessage,
): Result<Context, Failure> {
  const unready = checkReady(node);
  if (unready) return err(unready);
  const customer = authenticate(node, request);
  if (customer.isErr()) return err(customer.error);
  const headers = Headers.safeParse(request.headers);
  if (!headers.success) {
    const [{path, message}] = headers.error.issues;
    return raise('invalid-header', `${path.join('.')}: ${message}`);
  }
  const refusal = checkRateLimit(node, customer.value);
  if (refusal) return err(refusal);
  const {name} = customer.value;
  return ok({
    requestId: createRequestId(node),
    customer: name,
    taskClass: headers.data['x-task-class'],
    qualityTarget: headers.data['x-quality-target'],
    deadlineAt: node.clock() + headers.data['x-deadline-ms'],
    session: resolveSession(node, name, headers.data),
    idempotencyKey: headers.data['idempotency-key'],
    abort: new AbortController(),
  });
}

/** The customer's current spec; undefined when the customer was deleted. */
export function currentCustomer(
  node: RouterNode,
  context: Context,
): CustomerSpec | undefined {
  return findResource(node.configuration, 'Customer', context.customer)?.spec;
}

/** Milliseconds until the deadline of a request. */
export function remainingMs(node: RouterNode, context: Context): number {
  return context.deadlineAt - node.clock();
}
