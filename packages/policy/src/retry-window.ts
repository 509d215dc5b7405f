/**
 * Budget of repeated sends in a sliding window. Answers retry storms: repeats
 * stay a share of the first sends, so that they cannot feed an overload.
 */

/** Length of one bucket of the window, milliseconds. */
const BUCKET_MS = 500;

/** Bounds of a budget. */
export interface RetryBounds {
  readonly windowMs: number;
  /** Repeats allowed for each first send. */
  readonly ratio: number;
  /** Repeats allowed on top of that in a window. */
  readonly slack: number;
}

/** Counts of one service on one node. */
export interface RetryWindow {
  readonly bounds: RetryBounds;
  /** First sends and repeats by bucket number. */
  readonly buckets: Map<number, {first: number; repeated: number}>;
}

/** An empty window. */
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
  const bucket = {first: 0, repeated: 0};
  window.buckets.set(number, bucket);
  return bucket;
}

/** First sends surely within the window, and repeats that may be. */
function sum(window: RetryWindow, now: number) {
  const begin = (now - window.bounds.windowMs) / BUCKET_MS;
  let first = 0;
  let repeated = 0;
  for (const [number, bucket] of window.buckets) {
    if (number >= begin) first += bucket.first;
    if (number + 1 >= begin) repeated += bucket.repeated;
  }
  return {first, repeated};
}

/** Counts a request's first send. */
export function countFirst(window: RetryWindow, now: number): void {
  bucketAt(window, now).first += 1;
}

/** Repeats that the window still allows. */
export function retriesLeft(window: RetryWindow, now: number): number {
  const {first, repeated} = sum(window, now);
  const {ratio, slack} = window.bounds;
  return Math.max(0, Math.floor(first * ratio + slack) - repeated);
}

/** Takes a repeat, if the window allows one. */
export function takeRepeat(window: RetryWindow, now: number): boolean {
  if (retriesLeft(window, now) < 1) return false;
  bucketAt(window, now).repeated += 1;
  return true;
}
