/**
 * A clock that never runs slower than real time. The monotonic clock stops
 * while the machine is suspended, and the wall clock may be set. Each advance
 * of the wall clock beyond the monotonic clock therefore counts as elapsed
 * time, and backward steps are ignored. Leases and confirmations that are aged
 * by this clock expire early after a forward step, and never late after a
 * suspension.
 */

/**
 * Advance of the wall clock between two readings that is ignored as rounding.
 */
const ROUNDING_TOLERANCE_MS = 20;

/** State of the clock at the last reading. */
export interface ContinuousClock {
  monotonicMs: number;
  /** Unix milliseconds. */
  wallMs: number;
  /** Total time that the monotonic clock may have missed. */
  missedMs: number;
}

/** Creates a clock from an initial reading of both clocks. */
export function createContinuousClock(
  monotonicMs: number,
  wallMs: number,
): ContinuousClock {
  return {monotonicMs, wallMs, missedMs: 0};
}

/** Updates the clock from a reading of both clocks and returns its time. */
export function readContinuousClock(
  clock: ContinuousClock,
  monotonicMs: number,
  wallMs: number,
): number {
  const gapMs = wallMs - clock.wallMs - (monotonicMs - clock.monotonicMs);
  if (gapMs > ROUNDING_TOLERANCE_MS) clock.missedMs += gapMs;
  clock.monotonicMs = monotonicMs;
  clock.wallMs = wallMs;
  return monotonicMs + clock.missedMs;
}

/** Time between two readings of the monotonic clock that counts as none. */
const SIMULTANEOUS_MS = 5;
const MAX_READ_ATTEMPTS = 4;

/**
 * Reads both clocks at nearly the same time. If the process is preempted between
 * the readings, the wall clock seems to have advanced further, and each such
 * reading would add to the time that counts as missed.
 */
export function readBothClocks(
  monotonic: () => number,
  wall: () => number,
): {monotonicMs: number; wallMs: number} {
  for (let attempt = 1; ; attempt += 1) {
    const monotonicMs = monotonic();
    const wallMs = wall();
    const isSimultaneous = monotonic() - monotonicMs < SIMULTANEOUS_MS;
    if (isSimultaneous || attempt === MAX_READ_ATTEMPTS)
      return {monotonicMs, wallMs};
  }
}
