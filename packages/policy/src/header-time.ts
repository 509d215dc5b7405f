/**
 * Expected time from a send to the response header of an engine, by the work that is
 * present there. Most of that time does not depend on the work that a node knows of:
 * steps of other requests, prompts that other nodes have just sent, the pace of the
 * engine. It therefore grows with the work from a fixed part on and not in proportion.
 */

/** Work that takes as long as the part of the time that does not depend on work. */
const FIXED_WORK_UNITS = 10;
/** Expected time per unit of work before the first observation. */
const INITIAL_MS_PER_WORK_UNIT = 30;
/** Weight of the newest observation in the moving average. */
const SMOOTHING_RATIO = 0.15;

/** Time per unit of work, the fixed work included; absent before the first send. */
export type MsPerWorkUnit = number | undefined;

/** Adds the time that a send took; `work` includes that of the send itself. */
export function recordHeaderTime(
  msPerUnit: MsPerWorkUnit,
  work: number,
  tookMs: number,
): number {
  const known = msPerUnit ?? INITIAL_MS_PER_WORK_UNIT;
  const observed = tookMs / (FIXED_WORK_UNITS + work);
  return known + (observed - known) * SMOOTHING_RATIO;
}

/** Expected time of a send behind this work and with its own, milliseconds. */
export function expectHeaderTime(
  msPerUnit: MsPerWorkUnit,
  work: number,
): number {
  return (msPerUnit ?? INITIAL_MS_PER_WORK_UNIT) * (FIXED_WORK_UNITS + work);
}
