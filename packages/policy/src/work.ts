/**
 * Work that requests make at an upstream. The unit is what the largest model of
 * a service needs to read 1,000 prompt tokens.
 */

/** Work of any request, whatever its size. */
const FIXED_WORK = 0.2;
/** Work that a request still makes while its answer is passed on. */
const STREAMING_WORK = 0.08;

/** Work of reading a prompt. */
export function readingWork(
  unreadTokens: number,
  /** Cost of the model as a share of the largest one's. */
  relativeCost: number,
): number {
  return FIXED_WORK + (unreadTokens / 1_000) * relativeCost;
}

/** Work at an upstream, all nodes together. */
export function totalWork(pending: number, streaming: number): number {
  return pending + streaming * STREAMING_WORK;
}
