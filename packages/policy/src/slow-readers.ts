/**
 * When a caller that reads more slowly than its stream arrives holds back its upstream,
 * and when it is cut off. Upstreams cut off answers that are not read for some seconds,
 * so a caller is cut off before that. Answers the load of callers that do not read.
 */

/** Bounds on what a caller may leave unread of a stream. */
export interface ReaderLimits {
  /** Bytes up to which the upstream is not held back. */
  readonly bufferBytes: number;
  /** Time for which it may be held back, milliseconds. */
  readonly heldBackMs: number;
}

/** Fill of the account of held bytes from which buffers are smaller. */
const TIGHT_PRESSURE = 0.5;
/** Share of the buffer that is used then. */
const TIGHT_SHARE = 0.25;

/** Whether an upstream is held back until its caller reads. */
export function isHeldBack(
  {bufferBytes}: ReaderLimits,
  unreadBytes: number,
  pressure: number,
): boolean {
  const share = pressure >= TIGHT_PRESSURE ? TIGHT_SHARE : 1;
  return unreadBytes > bufferBytes * share;
}

/** Whether a caller that holds its upstream back is cut off. */
export function isCutOffForReading(
  {heldBackMs}: ReaderLimits,
  waitedMs: number,
): boolean {
  return waitedMs >= heldBackMs;
}
