/**
 * Work that requests cause at an upstream. One unit is the work of the largest
 * model of a service for the prefill of 1,000 prompt tokens.
 */

/** Work of any request, independent of its size. */
const FIXED_WORK_UNITS = 0.2;
/** Work that a request still causes while its answer is streamed. */
const STREAMING_WORK_UNITS = 0.08;

/** Work of the prefill of a prompt, including the fixed work of a request. */
export function prefillWork(
  uncachedTokens: number,
  /** Cost of the model, relative to the largest model of the service. */
  relativeCost: number,
): number {
  return FIXED_WORK_UNITS + (uncachedTokens / 1_000) * relativeCost;
}

/** Work at an upstream, in units. */
export function totalWork(pending: number, streaming: number): number {
  return pending + streaming * STREAMING_WORK_UNITS;
}
