/**
 * How far the event loop of a node is behind. Answers bursts of requests beyond the
 * processor of a node, pauses of its process and lapses of its share of a core. A
 * periodic tick shows how late the loop runs; between two ticks a tick that is overdue
 * does. Pure functions only.
 */

/** Time between two ticks, milliseconds. */
export const TICK_INTERVAL_MS = 250;
/** Lag above which requests may lie unread in the kernel together with their closes. */
const BEHIND_MS = 150;

/** Ticks of the event loop; monotonic milliseconds. */
export interface LoopLag {
  /** When the next tick is due. */
  dueAt: number;
  /** How late the latest tick was. */
  tickLagMs: number;
  /** When the loop began with the events of its current iteration, if it has any. */
  iterationStartedAt?: number;
}

export function createLoopLag(now: number): LoopLag {
  return {dueAt: now + TICK_INTERVAL_MS, tickLagMs: 0};
}

/** Records a tick. */
export function recordTick(lag: LoopLag, now: number): void {
  lag.tickLagMs = Math.max(0, now - lag.dueAt);
  lag.dueAt = now + TICK_INTERVAL_MS;
}

/** Time for which events may have waited for the loop, milliseconds. */
export function lagAt(lag: LoopLag, now: number): number {
  const iterationMs = now - (lag.iterationStartedAt ?? now);
  return Math.max(lag.tickLagMs, now - lag.dueAt, iterationMs, 0);
}

/** Whether closes of callers may be known later than their requests. */
export function isBehind(lag: LoopLag, now: number): boolean {
  return lagAt(lag, now) >= BEHIND_MS;
}
