/**
 * Retry budget of the entry path, in a sliding window. Prevents retry storms:
 * retries stay a share of the first sends, so they cannot amplify an overload.
 */

/** Length of one bucket of the window, milliseconds. */
const BUCKET_MS = 500;

export interface RetryBounds {
  readonly windowMs: number;
  /** Retries allowed per first send. */
  readonly ratio: number;
  /** Retries allowed on top of that in a window. */
  readonly slack: number;
}

/** First sends and retries of one service on one node. */
export interface RetryWindow {
  readonly bounds: RetryBounds;
  /** Counts by bucket number. */
  readonly buckets: Map<number, {firstSends: number; retries: number}>;
}

export function createRetryWindow(bounds: RetryBounds): RetryWindow {
  return {bounds, buckets: new Map()};
}

function bucketAt(window: RetryWindow, now: number) {
  const number = Math.floor(now / BUCKET_MS);
  const known = window.buckets.get(number);
  if (known) return known;
  const oldest = number - Math.ceil(window.bounds.windowMs / BUCKET_MS);
  for (const old of window.buckets.keys()) {
    if (old >= oldest) break;
    window.buckets.delete(old);
  }
  const bucket = {firstSends: 0, retries: 0};
  window.buckets.set(number, bucket);
  return bucket;
}

/**
 * Counts first sends of buckets entirely within the window, and retries of
 * buckets that overlap it, so that the budget is never overestimated.
 */
function sumWindow(window: RetryWindow, now: number) {
  const begin = (now - window.bounds.windowMs) / BUCKET_MS;
  let firstSends = 0;
  let retries = 0;
  for (const [number, bucket] of window.buckets) {
    if (number >= begin) firstSends += bucket.firstSends;
    if (number + 1 >= begin) retries += bucket.retries;
  }
  return {firstSends, retries};
}

export function countFirstSend(window: RetryWindow, now: number): void {
  bucketAt(window, now).firstSends += 1;
}

/** Retries that the budget still allows. */
export function retriesLeft(window: RetryWindow, now: number): number {
  const {firstSends, retries} = sumWindow(window, now);
  const {ratio, slack} = window.bounds;
  return Math.max(0, Math.floor(firstSends * ratio + slack) - retries);
}

/** Retries that are kept for failures and not used for larger models. */
const RESERVED_RETRY_COUNT = 4;

/**
 * Whether a request may be sent to a larger model after a smaller one answered.
 * A few retries are kept for failures, but never more than the slack: in a large
 * deployment a node's part of that is less than two, and each node gets only a
 * few requests a second, so that a fixed reserve would forbid larger models.
 */
export function allowsLargerModel(window: RetryWindow, now: number): boolean {
  const reserved = Math.min(RESERVED_RETRY_COUNT, window.bounds.slack);
  return retriesLeft(window, now) > reserved;
}

/** Counts a retry if the budget allows one; returns whether it does. */
export function consumeRetry(window: RetryWindow, now: number): boolean {
  if (retriesLeft(window, now) < 1) return false;
  bucketAt(window, now).retries += 1;
  return true;
}

/** Returns a retry that was counted at a time, since nothing has arrived. */
export function returnRetry(window: RetryWindow, consumedAt: number): void {
  const bucket = window.buckets.get(Math.floor(consumedAt / BUCKET_MS));
  if (bucket && bucket.retries > 0) bucket.retries -= 1;
}
