/**
 * Concurrency credits. One node, the allocator of an upstream, grants credits
 * with an expiry; other nodes dispatch only on credits that they hold. Pure
 * functions only.
 */

/** How long a grant may be used without renewal. */
export const GRANT_TTL_MS = 2_000;

/** Longest time that a request may run on an upstream. */
export const MAX_REQUEST_MS = 120_000;

/** Credits that one node holds at one upstream. */
export interface Grant {
  readonly incarnation: number;
  /** Number of the ask that the grant answers. */
  readonly sequence: number;
  /** The most that the node may be using. */
  readonly credits: number;
  /** Local monotonic milliseconds. */
  readonly expiresAt: number;
}

/** The allocator's state for one upstream. */
export interface Allocation {
  readonly coldLimit: number;
  readonly warmLimit: number;
  /** Concurrency now allowed over all nodes. */
  readonly limit: number;
  /** Successes since the limit last changed. */
  readonly successes: number;
  /** Start of the upstream that the limit belongs to; grows with each start. */
  readonly upstreamIncarnation: number;
  /** No grants before this time: the former allocator's must have run out. */
  readonly notBefore: number;
  /** Nodes that may still run requests which they have not reported. */
  readonly awaited: ReadonlySet<string>;
  /** Those among them that were silent already when this allocator was named. */
  readonly silent: ReadonlySet<string>;
  readonly grants: ReadonlyMap<string, Grant>;
}

/** A node's report and wish for one upstream. */
export interface CreditRequest {
  readonly node: string;
  readonly incarnation: number;
  readonly upstreamIncarnation: number;
  /** Limit that the node was last told for this start of the upstream. */
  readonly knownLimit: number;
  /** Number of the ask; older ones that come late change nothing. */
  readonly sequence: number;
  /**
   * The most requests that the node will run there until it has the answer;
   * never less than run there now.
   */
  readonly holding: number;
  /** Credits that the node could use now, those held included. */
  readonly want: number;
  /** Requests that succeeded since the last report. */
  readonly succeeded: number;
  /** Whether the upstream broke or refused work since the last report. */
  readonly failed: boolean;
}

/** The allocator's answer. */
export interface CreditGrant {
  readonly credits: number;
  readonly ttlMs: number;
  readonly limit: number;
  /** Start of the upstream that the grant is good for. */
  readonly upstreamIncarnation: number;
}

/**
 * An allocation that grants nothing before `notBefore` and, for as long as a
 * request can last, until each awaited node has reported. See `isWaiting` for
 * upstreams that are warm.
 */
export function createAllocation(
  coldLimit: number,
  warmLimit: number,
  notBefore: number,
  awaited: Iterable<string>,
  silent: Iterable<string> = [],
): Allocation {
  return {
    coldLimit,
    warmLimit,
    limit: coldLimit,
    successes: 0,
    upstreamIncarnation: 0,
    notBefore,
    awaited: new Set(awaited),
    silent: new Set(silent),
    grants: new Map(),
  };
}

/** Back to the cold limit for a new start of the upstream. */
function turnCold(state: Allocation, upstreamIncarnation: number): Allocation {
  return {
    ...state,
    limit: state.coldLimit,
    successes: 0,
    upstreamIncarnation,
  };
}

/** Adds one to the limit after as many successes as the limit is wide. */
function grow(state: Allocation, succeeded: number): Allocation {
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
 * Credits that a node may still be using. A grant that ran out keeps counting
 * for as long as a request started on it can last.
 */
function heldBy(grant: Grant, now: number): number {
  if (now <= grant.expiresAt) return grant.credits;
  return now <= grant.expiresAt + MAX_REQUEST_MS ? grant.credits : 0;
}

function heldByOthers(state: Allocation, node: string, now: number): number {
  let held = 0;
  for (const [holder, grant] of state.grants) {
    if (holder !== node) held += heldBy(grant, now);
  }
  return held;
}

function activeNodes(state: Allocation, node: string, now: number): number {
  let active = 1;
  for (const [holder, grant] of state.grants) {
    if (holder === node || now > grant.expiresAt) continue;
    if (grant.credits > 0) active += 1;
  }
  return active;
}

/**
 * Whether an allocator cannot yet know all that nodes may be using. For a cold
 * upstream that must be certain. One whose full limit has been recalled bears
 * an error of a few requests: it waits only for the nodes that are up.
 */
export function isWaiting(state: Allocation, now: number): boolean {
  const {awaited, silent, notBefore, limit, warmLimit} = state;
  if (limit >= warmLimit && now < notBefore) {
    for (const node of awaited) if (!silent.has(node)) return true;
    return false;
  }
  if (limit >= warmLimit) return false;
  if (now < notBefore) return true;
  return awaited.size > 0 && now < notBefore + MAX_REQUEST_MS;
}

/** Takes over the limit that an earlier allocator had learned. */
function recallLimit(state: Allocation, knownLimit: number): Allocation {
  const limit = Math.min(Math.max(state.limit, knownLimit), state.warmLimit);
  return {...state, limit};
}

function adoptReport(
  state: Allocation,
  request: CreditRequest,
  now: number,
): Allocation {
  if (request.upstreamIncarnation < state.upstreamIncarnation) return state;
  const known =
    request.upstreamIncarnation > state.upstreamIncarnation
      ? turnCold(state, request.upstreamIncarnation)
      : state;
  if (request.failed) return turnCold(known, known.upstreamIncarnation);
  if (isWaiting(known, now)) return recallLimit(known, request.knownLimit);
  return grow(known, request.succeeded);
}

function withoutAwaited(state: Allocation, node: string): Allocation {
  if (!state.awaited.has(node)) return state;
  const awaited = new Set(state.awaited);
  awaited.delete(node);
  return {...state, awaited};
}

function isOldAsk(state: Allocation, request: CreditRequest): boolean {
  const known = state.grants.get(request.node);
  if (!known) return false;
  if (known.incarnation !== request.incarnation)
    return known.incarnation > request.incarnation;
  return known.sequence >= request.sequence;
}

function countCredits(
  state: Allocation,
  request: CreditRequest,
  now: number,
): number {
  if (isWaiting(state, now)) return 0;
  if (request.upstreamIncarnation !== state.upstreamIncarnation) return 0;
  const free = state.limit - heldByOthers(state, request.node, now);
  const share = Math.floor(state.limit / activeNodes(state, request.node, now));
  const crowded = free < request.want;
  const wish = crowded
    ? Math.min(request.want, Math.max(share, 1))
    : request.want;
  return Math.max(0, Math.min(wish, free));
}

/**
 * Decides how many credits a node gets. A grant below what the node holds
 * counts in full until the node's next ask shows that it has let go.
 */
export function grantCredits(
  state: Allocation,
  request: CreditRequest,
  now: number,
): {state: Allocation; grant: CreditGrant} {
  const {upstreamIncarnation} = request;
  if (isOldAsk(state, request)) {
    const none = {credits: 0, ttlMs: 0, limit: state.limit};
    return {state, grant: {...none, upstreamIncarnation}};
  }
  const reported = withoutAwaited(state, request.node);
  const next = adoptReport(reported, request, now);
  const credits = countCredits(next, request, now);
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

/** Frees what nodes held that are gone for certain: their connections ended. */
export function dropNodes(
  state: Allocation,
  gone: (node: string) => boolean,
): Allocation {
  const grants = new Map(state.grants);
  const awaited = new Set(state.awaited);
  for (const node of state.grants.keys()) {
    if (gone(node)) grants.delete(node);
  }
  for (const node of state.awaited) {
    if (gone(node)) awaited.delete(node);
  }
  return {...state, grants, awaited};
}

/** Follows a change of the declared limits without losing the learned one. */
export function setLimits(
  state: Allocation,
  coldLimit: number,
  warmLimit: number,
): Allocation {
  const limit = Math.min(Math.max(state.limit, coldLimit), warmLimit);
  return {...state, coldLimit, warmLimit, limit};
}
