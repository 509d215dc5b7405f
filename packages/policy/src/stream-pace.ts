/**
 * Judges from the first gaps between its events whether a stream is slow. The
 * time to its first event is judged elsewhere: it depends on the prompt, the
 * gaps depend on the upstream. Pure functions only.
 */

/** Multiple of the baseline gap above which a mean gap is slow. */
const SLOW_GAP_RATIO = 3;
/** Mean gaps up to this one are never slow, milliseconds. */
const MIN_SLOW_GAP_MS = 50;
/** Number of gaps from which a stream is judged. */
const JUDGED_GAP_COUNT = 4;

export const Pace = {
  slow: 'slow',
  timely: 'timely',
  /** The stream has made too few events so far. */
  unknown: 'unknown',
} as const;
export type Pace = (typeof Pace)[keyof typeof Pace];

/** Gaps between the events of a stream so far. */
export interface StreamGaps {
  readonly count: number;
  /** Sum of the gaps, milliseconds. */
  readonly totalMs: number;
}

/** Judges a stream; `baselineMs` is the usual mean gap. */
export function judgePace(
  {count, totalMs}: StreamGaps,
  baselineMs: number,
  isOver: boolean,
): Pace {
  const slowGapMs = Math.max(MIN_SLOW_GAP_MS, baselineMs * SLOW_GAP_RATIO);
  if (totalMs > slowGapMs * JUDGED_GAP_COUNT) return Pace.slow;
  if (count >= JUDGED_GAP_COUNT) return Pace.timely;
  if (!isOver) return Pace.unknown;
  return totalMs > slowGapMs * count ? Pace.slow : Pace.timely;
}
