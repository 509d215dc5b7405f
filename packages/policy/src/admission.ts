/**
 * Admission control: customer rate limits, fair queueing, early rejection of
 * requests that would wait too long, and retry budgets.
 */

/** State of a token bucket that refills continuously. */
export interface TokenBucket {
  readonly tokens: number;
  /** Monotonic milliseconds of the last refill. */
  readonly filledAt: number;
}

/** Bucket capacity, in seconds of the customer's rate. */
const BURST_SECONDS = 2;

/**
 * Takes one token from a customer's bucket. Each node enforces an equal part of
 * the rate, so admitting a request needs no call to another node.
 */
export function takeRateToken(
  bucket: TokenBucket | undefined,
  ratePerSecond: number,
  nodeCount: number,
  now: number,
): {bucket: TokenBucket; admitted: boolean; retryAfterMs: number} {
  const nodeRate = ratePerSecond / Math.max(1, nodeCount);
  const capacity = Math.max(1, nodeRate * BURST_SECONDS);
  const elapsedSeconds = bucket ? (now - bucket.filledAt) / 1_000 : 0;
  const available = bucket
    ? Math.min(capacity, bucket.tokens + elapsedSeconds * nodeRate)
    : capacity;
  const admitted = available >= 1;
  const tokens = admitted ? available - 1 : available;
  const retryAfterMs = admitted
    ? 0
    : Math.ceil(((1 - available) / nodeRate) * 1_000);
  return {bucket: {tokens, filledAt: now}, admitted, retryAfterMs};
}

/** A request that waits for an upstream. */
export interface QueuedRequest {
  readonly id: string;
  readonly customer: string;
  readonly weight: number;
  /** Virtual finish time; the request with the smallest is served first. */
  readonly virtualFinish: number;
}

/**
 * Requests that wait for one pool. They are served in the order of their virtual
 * finish times (weighted fair queueing).
 */
export interface FairQueue {
  readonly requests: readonly QueuedRequest[];
  /** Latest virtual start time of the requests that left the queue. */
  readonly virtualTime: number;
  readonly lastVirtualFinish: ReadonlyMap<string, number>;
}

export const EMPTY_QUEUE: FairQueue = {
  requests: [],
  virtualTime: 0,
  lastVirtualFinish: new Map(),
};

/** Adds a request. Customers are served in proportion to their weights. */
export function enqueue(
  queue: FairQueue,
  id: string,
  customer: string,
  weight: number,
): FairQueue {
  const start = Math.max(
    queue.virtualTime,
    queue.lastVirtualFinish.get(customer) ?? 0,
  );
  const virtualFinish = start + 1 / weight;
  const lastVirtualFinish = new Map(queue.lastVirtualFinish).set(
    customer,
    virtualFinish,
  );
  const requests = [...queue.requests, {id, customer, weight, virtualFinish}];
  return {...queue, requests, lastVirtualFinish};
}

/** Removes a request that was served, timed out or was cancelled. */
export function removeQueued(queue: FairQueue, id: string): FairQueue {
  const removed = queue.requests.find(request => request.id === id);
  if (!removed) return queue;
  const requests = queue.requests.filter(request => request.id !== id);
  if (requests.length === 0) return EMPTY_QUEUE;
  const virtualTime = Math.max(
    queue.virtualTime,
    removed.virtualFinish - 1 / removed.weight,
  );
  return {...queue, requests, virtualTime};
}

/** Returns the queued requests, first to be served first. */
export function listInServingOrder(queue: FairQueue): readonly QueuedRequest[] {
  return [...queue.requests].sort((a, b) => a.virtualFinish - b.virtualFinish);
}

/** Counts the requests that would be served before a customer's next one. */
export function countRequestsAhead(
  queue: FairQueue,
  customer: string,
  weight: number,
): number {
  const withNext = enqueue(queue, '', customer, weight);
  const {virtualFinish} = withNext.requests[withNext.requests.length - 1];
  return queue.requests.filter(
    request => request.virtualFinish <= virtualFinish,
  ).length;
}

/** Queue length and capacity of a pool, as seen by one node. */
export interface PoolLoad {
  /** Queued requests that would be served before this one. */
  readonly requestsAhead: number;
  /** Requests that this node may run at once. */
  readonly credits: number;
  /** Mean service time of a request, milliseconds. */
  readonly serviceMs: number;
}

export const MAX_QUEUE_WAIT_MS = 1_000;

/** Factor on the estimated wait, as service can be slower than the mean. */
const WAIT_MARGIN_RATIO = 1.3;

export function estimateWaitMs(load: PoolLoad): number {
  const rounds = (load.requestsAhead + 1) / Math.max(1, load.credits);
  return rounds * load.serviceMs * WAIT_MARGIN_RATIO;
}

/** Whether to queue a request, and for how long, or to reject it at once. */
export type WaitDecision =
  | {readonly wait: true; readonly maxWaitMs: number}
  | {readonly wait: false; readonly retryAfterMs: number};

/**
 * Decides, on the arrival of a request, whether it is queued. A request that
 * would wait longer than `MAX_QUEUE_WAIT_MS`, or too long to finish by its
 * deadline, is rejected at once. With no request ahead of it, it is rejected only
 * if the mean service time leaves no time before the deadline. The retry time of
 * a rejection is the estimated wait, 100 ms at least.
 */
export function decideWait(load: PoolLoad, deadlineMs: number): WaitDecision {
  const estimatedMs = estimateWaitMs(load);
  const limitMs = Math.min(MAX_QUEUE_WAIT_MS, deadlineMs - load.serviceMs);
  if (load.requestsAhead > 0 && estimatedMs > limitMs)
    return {wait: false, retryAfterMs: Math.ceil(Math.max(estimatedMs, 100))};
  if (limitMs <= 0)
    return {wait: false, retryAfterMs: Math.ceil(Math.max(estimatedMs, 100))};
  return {wait: true, maxWaitMs: limitMs};
}

/**
 * Retry tokens earned by each first attempt. A ratio well below 1 keeps retries
 * from amplifying an overload.
 */
const RETRY_RATIO = 0.1;
const MAX_RETRY_TOKEN_COUNT = 10;

/** Tokens for retries in a pool; each retry spends one. */
export interface RetryBudget {
  readonly tokens: number;
}

export const FULL_RETRY_BUDGET: RetryBudget = {tokens: MAX_RETRY_TOKEN_COUNT};

/** Adds the fraction of a retry that a first attempt earns. */
export function refillRetryBudget(budget: RetryBudget): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKEN_COUNT, budget.tokens + RETRY_RATIO)};
}

export function spendRetryToken(budget: RetryBudget): {
  budget: RetryBudget;
  allowed: boolean;
} {
  if (budget.tokens < 1) return {budget, allowed: false};
  return {budget: {tokens: budget.tokens - 1}, allowed: true};
}
