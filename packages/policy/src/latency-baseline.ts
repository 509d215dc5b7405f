/** Usual times of a version, against which another one is compared. */

/** Weight of the newest time in the moving mean. */
const SMOOTHING_RATIO = 0.05;
/** Shortest time that is distinguished, milliseconds. */
const MIN_TIME_MS = 1;

/**
 * Next value of a moving geometric mean, milliseconds. Unlike an arithmetic mean,
 * it stays near the usual time beside a few very slow answers.
 */
export function nextBaselineMs(
  baselineMs: number | undefined,
  timeMs: number,
): number {
  const newest = Math.max(MIN_TIME_MS, timeMs);
  if (baselineMs === undefined) return newest;
  return baselineMs * (newest / baselineMs) ** SMOOTHING_RATIO;
}
