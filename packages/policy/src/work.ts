/**
 * Work that requests cause at an upstream. One unit is the work of the largest
 * model of a service for the prefill of 1,000 prompt tokens.
 */

/** Work of any request, independent of its size. */
const FIXED_WORK_UNITS = 0.2;
/** Work that a request still causes while its answer is streamed. */
const STREAMING_WORK_UNITS = 0.08;

/**
 * Exponent of the time per prompt token over the price of a model. Small models
 * are cheaper than they are fast.
 */
const TIME_OVER_COST_EXPONENT = 0.6;

/** Relative time per prompt token of a model, from its relative price. */
export function relativeTime(relativeCost: number): number {
  return relativeCost ** TIME_OVER_COST_EXPONENT;
}

/** Work of the prefill of a prompt, including the fixed work of a request. */
export function prefillWork(
  uncachedTokens: number,
  /** Time per token of the model, relative to the largest model of the service. */
  relativeTokenTime: number,
): number {
  return FIXED_WORK_UNITS + (uncachedTokens / 1_000) * relativeTokenTime;
}

/** Work at an upstream, in units. */
export function totalWork(pending: number, streaming: number): number {
  return pending + streaming * STREAMING_WORK_UNITS;
}
