/**
 * Concurrency credits: a distributed limit on the requests in flight at an
 * upstream. One node, the allocator of the upstream, grants credits with an
 * expiry; a node dispatches a request only on a credit that it holds. Pure
 * functions only.
 */

/** Lifetime of a grant that is not renewed. */
export const GRANT_TTL_MS = 2_000;

/** Upper bound on the duration of a request on an upstream. */
export const MAX_REQUEST_MS = 120_000;

/** Credits that one node holds at one upstream. */
export interface Grant {
  /** Incarnation of the node. */
  readonly incarnation: number;
  /** Sequence number of the request that the grant answers. */
  readonly sequence: number;
  /** Upper bound on the credits that the node may be using. */
  readonly credits: number;
  /** Local monotonic milliseconds. */
  readonly expiresAt: number;
}

/** The allocator's state for one upstream. */
export interface Allocation {
  /** Concurrency limit just after a start or a failure of the upstream. */
  readonly coldLimit: number;
  /** Concurrency limit up to which successes raise it. */
  readonly warmLimit: number;
  /** Current concurrency limit, summed over all nodes. */
  readonly limit: number;
  /** Successes since the limit last changed. */
  readonly successes: number;
  /** Incarnation of the upstream that the limit applies to; grows per start. */
  readonly upstreamIncarnation: number;
  /** No grants before this time, when the previous allocator's have expired. */
  readonly notBefore: number;
  /** Nodes that may be running requests and have not reported them yet. */
  readonly awaited: ReadonlySet<string>;
  /** Awaited nodes that were unreachable when this allocator was appointed. */
  readonly unreachable: ReadonlySet<string>;
  readonly grants: ReadonlyMap<string, Grant>;
}

/** A node's report of its use of one upstream and its request for credits. */
export interface CreditRequest {
  readonly node: string;
  /** Incarnation of the node. */
  readonly incarnation: number;
  readonly upstreamIncarnation: number;
  /** Limit that the node last received for this incarnation of the upstream. */
  readonly knownLimit: number;
  /**
   * Sequence number of the request; older ones that arrive late are ignored.
   */
  readonly sequence: number;
  /**
   * Upper bound on the requests that the node runs on the upstream until it
   * receives the answer; at least the number that are running now.
   */
  readonly holding: number;
  /** Credits that the node could use now, including those that it holds. */
  readonly want: number;
  /** Requests that succeeded since the last report. */
  readonly succeeded: number;
  /** Whether the upstream failed or refused a request since the last report. */
  readonly failed: boolean;
}

/** The allocator's answer. */
export interface CreditGrant {
  readonly credits: number;
  readonly ttlMs: number;
  readonly limit: number;
  /** Incarnation of the upstream that the grant is valid for. */
  readonly upstreamIncarnation: number;
}

/**
 * Creates an allocation that grants nothing before `notBefore`, and then
 * nothing until each awaited node has reported or `MAX_REQUEST_MS` has passed.
 * `isRecovering` states the weaker rule for warm upstreams.
 */
export function createAllocation(
  coldLimit: number,
  warmLimit: number,
  notBefore: number,
  awaited: Iterable<string>,
  unreachable: Iterable<string> = [],
): Allocation {
  return {
    coldLimit,
    warmLimit,
    limit: coldLimit,
    successes: 0,
    upstreamIncarnation: 0,
    notBefore,
    awaited: new Set(awaited),
    unreachable: new Set(unreachable),
    grants: new Map(),
  };
}

/** Resets the limit to the cold limit for an incarnation of the upstream. */
function resetToColdLimit(
  state: Allocation,
  upstreamIncarnation: number,
): Allocation {
  return {
    ...state,
    limit: state.coldLimit,
    successes: 0,
    upstreamIncarnation,
  };
}

/** Raises the limit by one after every `limit` successes. */
function raiseLimit(state: Allocation, succeeded: number): Allocation {
  let {limit} = state;
  let successes = state.successes + succeeded;
  while (limit < state.warmLimit && successes >= limit) {
    successes -= limit;
    limit += 1;
  }
  if (limit >= state.warmLimit) successes = 0;
  return {...state, limit, successes};
}

/**
 * Credits that a node may still be using. An expired grant counts for another
 * `MAX_REQUEST_MS`, since a request that was started on it may run that long.
 */
function countOutstanding(grant: Grant, now: number): number {
  if (now <= grant.expiresAt) return grant.credits;
  return now <= grant.expiresAt + MAX_REQUEST_MS ? grant.credits : 0;
}

function countOutstandingOfOthers(
  state: Allocation,
  node: string,
  now: number,
): number {
  let outstanding = 0;
  for (const [holder, grant] of state.grants) {
    if (holder !== node) outstanding += countOutstanding(grant, now);
  }
  return outstanding;
}

function countActiveNodes(
  state: Allocation,
  node: string,
  now: number,
): number {
  let active = 1;
  for (const [holder, grant] of state.grants) {
    if (holder === node || now > grant.expiresAt) continue;
    if (grant.credits > 0) active += 1;
  }
  return active;
}

/**
 * Whether a new allocator does not yet know all credits that nodes may be
 * using. A cold upstream tolerates no error: the allocator waits until
 * `notBefore`, and then for all awaited nodes, for `MAX_REQUEST_MS` at most. An
 * upstream whose full warm limit has been restored tolerates a few excess
 * requests: the allocator waits only for the nodes that were reachable, until
 * `notBefore` at most.
 */
export function isRecovering(state: Allocation, now: number): boolean {
  const {awaited, unreachable, notBefore, limit, warmLimit} = state;
  if (limit >= warmLimit && now < notBefore) {
    for (const node of awaited) if (!unreachable.has(node)) return true;
    return false;
  }
  if (limit >= warmLimit) return false;
  if (now < notBefore) return true;
  return awaited.size > 0 && now < notBefore + MAX_REQUEST_MS;
}

/** Restores the limit that a previous allocator had reached. */
function restoreLimit(state: Allocation, knownLimit: number): Allocation {
  const limit = Math.min(Math.max(state.limit, knownLimit), state.warmLimit);
  return {...state, limit};
}

function applyReport(
  state: Allocation,
  request: CreditRequest,
  now: number,
): Allocation {
  if (request.upstreamIncarnation < state.upstreamIncarnation) return state;
  const known =
    request.upstreamIncarnation > state.upstreamIncarnation
      ? resetToColdLimit(state, request.upstreamIncarnation)
      : state;
  if (request.failed) return resetToColdLimit(known, known.upstreamIncarnation);
  if (isRecovering(known, now)) return restoreLimit(known, request.knownLimit);
  return raiseLimit(known, request.succeeded);
}

function removeAwaited(state: Allocation, node: string): Allocation {
  if (!state.awaited.has(node)) return state;
  const awaited = new Set(state.awaited);
  awaited.delete(node);
  return {...state, awaited};
}

function isStaleRequest(state: Allocation, request: CreditRequest): boolean {
  const known = state.grants.get(request.node);
  if (!known) return false;
  if (known.incarnation !== request.incarnation)
    return known.incarnation > request.incarnation;
  return known.sequence >= request.sequence;
}

function decideCredits(
  state: Allocation,
  request: CreditRequest,
  now: number,
): number {
  if (isRecovering(state, now)) return 0;
  if (request.upstreamIncarnation !== state.upstreamIncarnation) return 0;
  const available =
    state.limit - countOutstandingOfOthers(state, request.node, now);
  const fairShare = Math.floor(
    state.limit / countActiveNodes(state, request.node, now),
  );
  const contended = available < request.want;
  const requested = contended
    ? Math.min(request.want, Math.max(fairShare, 1))
    : request.want;
  return Math.max(0, Math.min(requested, available));
}

/**
 * Decides how many credits a node gets. If the node holds more than it is
 * granted, the larger number counts as outstanding until the node's next
 * request reports that it uses fewer.
 */
export function grantCredits(
  state: Allocation,
  request: CreditRequest,
  now: number,
): {state: Allocation; grant: CreditGrant} {
  const {upstreamIncarnation} = request;
  if (isStaleRequest(state, request)) {
    const emptyGrant = {credits: 0, ttlMs: 0, limit: state.limit};
    return {state, grant: {...emptyGrant, upstreamIncarnation}};
  }
  const reported = removeAwaited(state, request.node);
  const next = applyReport(reported, request, now);
  const credits = decideCredits(next, request, now);
  const grants = new Map(next.grants);
  grants.set(request.node, {
    incarnation: request.incarnation,
    sequence: request.sequence,
    credits: Math.max(credits, request.holding),
    expiresAt: now + GRANT_TTL_MS,
  });
  return {
    state: {...next, grants},
    grant: {
      credits,
      ttlMs: GRANT_TTL_MS,
      limit: next.limit,
      upstreamIncarnation: next.upstreamIncarnation,
    },
  };
}

/**
 * Releases the credits of nodes whose processes have certainly ended, and with
 * them their connections to the upstream.
 */
export function dropNodes(
  state: Allocation,
  isGone: (node: string) => boolean,
): Allocation {
  const grants = new Map(state.grants);
  const awaited = new Set(state.awaited);
  for (const node of state.grants.keys()) {
    if (isGone(node)) grants.delete(node);
  }
  for (const node of state.awaited) {
    if (isGone(node)) awaited.delete(node);
  }
  return {...state, grants, awaited};
}

/**
 * Applies changed cold and warm limits and keeps the current limit within them.
 */
export function setLimits(
  state: Allocation,
  coldLimit: number,
  warmLimit: number,
): Allocation {
  const limit = Math.min(Math.max(state.limit, coldLimit), warmLimit);
  return {...state, coldLimit, warmLimit, limit};
}
