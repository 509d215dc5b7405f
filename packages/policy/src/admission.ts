/** Customer rates, early refusal, fair order of waiting, and retry budgets. */

/** A token bucket; refilled as time passes. */
export interface Bucket {
  readonly tokens: number;
  /** Monotonic milliseconds. */
  readonly filledAt: number;
}

/** Seconds of a customer's rate that may be used at once. */
const BURST_SECONDS = 2;

/**
 * Takes one request from a customer's bucket. Each node enforces its share of
 * the rate, so no call is made for a request.
 */
export function takeRate(
  bucket: Bucket | undefined,
  ratePerSecond: number,
  nodes: number,
  now: number,
): {bucket: Bucket; admitted: boolean; retryAfterMs: number} {
  const share = ratePerSecond / Math.max(1, nodes);
  const burst = Math.max(1, share * BURST_SECONDS);
  const elapsed = bucket ? (now - bucket.filledAt) / 1_000 : 0;
  const filled = bucket
    ? Math.min(burst, bucket.tokens + elapsed * share)
    : burst;
  const admitted = filled >= 1;
  const tokens = admitted ? filled - 1 : filled;
  const retryAfterMs = admitted ? 0 : Math.ceil(((1 - filled) / share) * 1_000);
  return {bucket: {tokens, filledAt: now}, admitted, retryAfterMs};
}

/** One request that waits for an upstream. */
export interface Waiter {
  readonly id: string;
  readonly customer: string;
  readonly weight: number;
  /** Virtual finish time; the smallest goes first. */
  readonly finish: number;
}

/** Requests that wait for one pool, in start-time fair order. */
export interface Queue {
  readonly waiters: readonly Waiter[];
  /** Virtual time: the finish of the last request taken. */
  readonly virtual: number;
  readonly lastFinish: ReadonlyMap<string, number>;
}

/** An empty queue. */
export const EMPTY_QUEUE: Queue = {
  waiters: [],
  virtual: 0,
  lastFinish: new Map(),
};

/** Adds a request; a customer's turns come in proportion to its weight. */
export function enqueue(
  queue: Queue,
  id: string,
  customer: string,
  weight: number,
): Queue {
  const start = Math.max(queue.virtual, queue.lastFinish.get(customer) ?? 0);
  const finish = start + 1 / weight;
  const lastFinish = new Map(queue.lastFinish).set(customer, finish);
  const waiters = [...queue.waiters, {id, customer, weight, finish}];
  return {...queue, waiters, lastFinish};
}

/** Removes a request that was served or gave up. */
export function dequeue(queue: Queue, id: string): Queue {
  const leaving = queue.waiters.find(waiter => waiter.id === id);
  if (!leaving) return queue;
  const waiters = queue.waiters.filter(waiter => waiter.id !== id);
  if (waiters.length === 0) return EMPTY_QUEUE;
  const virtual = Math.max(queue.virtual, leaving.finish - 1 / leaving.weight);
  return {...queue, waiters, virtual};
}

/** Waiting requests in the order in which they are to be served. */
export function servingOrder(queue: Queue): readonly Waiter[] {
  return [...queue.waiters].sort((a, b) => a.finish - b.finish);
}

/** Requests that would be served before a customer's next one. */
export function countAhead(
  queue: Queue,
  customer: string,
  weight: number,
): number {
  const next = enqueue(queue, '', customer, weight);
  const {finish} = next.waiters[next.waiters.length - 1];
  return queue.waiters.filter(waiter => waiter.finish <= finish).length;
}

/** What a pool has been able to do lately. */
export interface PoolPace {
  /** Requests that would be served before this one. */
  readonly waiting: number;
  /** Concurrency that this node may use now. */
  readonly credits: number;
  /** Mean milliseconds that a request takes. */
  readonly serviceMs: number;
}

/** Longest time that a request may wait for an upstream, milliseconds. */
export const MAX_WAIT_MS = 1_000;

/** Allowance for turns that come slower than the mean says. */
const WAIT_MARGIN = 1.3;

/** Wait of a request with so many before it, milliseconds. */
export function predictWait(pace: PoolPace): number {
  const turns = (pace.waiting + 1) / Math.max(1, pace.credits);
  return turns * pace.serviceMs * WAIT_MARGIN;
}

/** Whether to queue a request or to refuse it at once, and until when. */
export type WaitDecision =
  | {readonly wait: true; readonly untilMs: number}
  | {readonly wait: false; readonly retryAfterMs: number};

/**
 * Decides at arrival. A request that would wait longer than is useful is
 * refused at once rather than held.
 */
export function decideWait(pace: PoolPace, deadlineMs: number): WaitDecision {
  const predicted = predictWait(pace);
  const useful = Math.min(MAX_WAIT_MS, deadlineMs - pace.serviceMs);
  if (pace.waiting > 0 && predicted > useful)
    return {wait: false, retryAfterMs: Math.ceil(Math.max(predicted, 100))};
  if (useful <= 0)
    return {wait: false, retryAfterMs: Math.ceil(Math.max(predicted, 100))};
  return {wait: true, untilMs: useful};
}

/** Retries allowed for each first attempt, so that retries never feed a load. */
const RETRY_RATIO = 0.1;
const MAX_RETRY_TOKENS = 10;

/** Retries that a pool may still make. */
export interface RetryBudget {
  readonly tokens: number;
}

/** A full retry budget. */
export const FULL_RETRIES: RetryBudget = {tokens: MAX_RETRY_TOKENS};

/** Earns a fraction of a retry with each first attempt. */
export function earnRetry(budget: RetryBudget): RetryBudget {
  return {tokens: Math.min(MAX_RETRY_TOKENS, budget.tokens + RETRY_RATIO)};
}

/** Takes a retry, if the budget has one. */
export function takeRetry(budget: RetryBudget): {
  budget: RetryBudget;
  allowed: boolean;
} {
  if (budget.tokens < 1) return {budget, allowed: false};
  return {budget: {tokens: budget.tokens - 1}, allowed: true};
}
