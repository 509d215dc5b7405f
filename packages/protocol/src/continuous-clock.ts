/**
 * A clock that never runs slower than true time. The monotonic clock stops
 * while a machine is suspended and the time of day may be set, so each advance
 * of the time of day beyond the monotonic one counts as time that has passed,
 * and steps back do not count. Leases and confirmations that are aged by this
 * clock end early after a step forward, and never late after a suspension.
 */

/** Differences between two readings that are rounding, milliseconds. */
const TOLERANCE_MS = 20;

/** State of the clock at its last reading. */
export interface ContinuousClock {
  monotonicMs: number;
  /** Time of day, Unix milliseconds. */
  wallMs: number;
  /** Time that the monotonic clock may have missed, milliseconds. */
  missedMs: number;
}

/** Creates a clock from a first reading of both clocks. */
export function createContinuousClock(
  monotonicMs: number,
  wallMs: number,
): ContinuousClock {
  return {monotonicMs, wallMs, missedMs: 0};
}

/** Takes a reading of both clocks and tells the time, milliseconds. */
export function readContinuous(
  clock: ContinuousClock,
  monotonicMs: number,
  wallMs: number,
): number {
  const gapMs = wallMs - clock.wallMs - (monotonicMs - clock.monotonicMs);
  if (gapMs > TOLERANCE_MS) clock.missedMs += gapMs;
  clock.monotonicMs = monotonicMs;
  clock.wallMs = wallMs;
  return monotonicMs + clock.missedMs;
}
