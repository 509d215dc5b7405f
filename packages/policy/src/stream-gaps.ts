/**
 * When a stream that makes no events is given up. A stream that can go on at
 * another upstream is moved soon after its pause objective. One that cannot is
 * worth waiting for until its caller leaves: it may be slow but sound. Bytes that
 * complete no event do not count as progress.
 */

/** What a route expects of the pace of its streams, milliseconds. */
export interface StreamPace {
  /** Latency objective of the first event. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream that is in time. */
  readonly pauseObjectiveMs: number;
}

/** Pause after which a stream is moved, as a multiple of the pause objective. */
const MOVE_RATIO = 2;
/**
 * Callers leave a stream after a gap of two seconds, four times the objective or
 * eight times the pause objective, whichever is longest.
 */
const MIN_CALLER_GAP_MS = 2_000;
const CALLER_GAP_OBJECTIVES = 4;
const CALLER_GAP_PAUSES = 8;

/** Gap after which a stream is moved to another upstream, milliseconds. */
export function moveGapMs({pauseObjectiveMs}: StreamPace): number {
  return pauseObjectiveMs * MOVE_RATIO;
}

/** Gap after which callers leave a stream, milliseconds. */
export function callerGapMs(pace: StreamPace): number {
  return Math.max(
    MIN_CALLER_GAP_MS,
    pace.objectiveMs * CALLER_GAP_OBJECTIVES,
    pace.pauseObjectiveMs * CALLER_GAP_PAUSES,
  );
}

/** Whether to give up a stream that has made no event for some time. */
export function isStalled(
  pace: StreamPace,
  gapMs: number,
  canMove: boolean,
): boolean {
  if (gapMs >= callerGapMs(pace)) return true;
  return canMove && gapMs >= moveGapMs(pace);
}
