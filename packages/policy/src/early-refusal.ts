/**
 * Whether a node refuses a request that waits for its event loop. Answers bursts beyond
 * the processor of one node: a refusal takes a fifth of the processor time of an answer,
 * and a caller that retries reaches another node. Delegation does not help: it takes
 * four fifths. Pure functions only.
 */

/** Time after which a refused caller retries, milliseconds. */
export const EARLY_RETRY_AFTER_MS = 50;
/** Time in which a retry reaches another node and begins there, milliseconds. */
const ELSEWHERE_MS = 100;
/** Iterations of the event loop from a turn to the answer: connection, header, body. */
const ITERATIONS_AFTER_TURN = 3;
/** Part of the latency objective that delays on nodes may take. */
const NODE_DELAY_RATIO = 0.5;

/** A request that has been read and what its node knows; milliseconds. */
export interface DelayedRequest {
  /** Requests that begin before it. */
  readonly aheadCount: number;
  /** Mean time between two turns. */
  readonly turnMs: number;
  /** Time for which it may have lain unread. */
  readonly waitedMs: number;
  readonly objectiveMs: number;
  /** Time until its deadline. */
  readonly leftMs: number;
  /** Whether this node is under pressure and most others of its domain are not. */
  readonly hasRoomElsewhere: boolean;
}

/** Expected time from now until the answer passes, without that of the upstream. */
export function predictDelayMs({aheadCount, turnMs}: DelayedRequest): number {
  return (aheadCount + 1 + ITERATIONS_AFTER_TURN) * turnMs;
}

/** Whether the caller is better served by a retry at another node. */
export function isBetterRefused(request: DelayedRequest): boolean {
  const {waitedMs, objectiveMs, leftMs, hasRoomElsewhere} = request;
  const delayMs = predictDelayMs(request);
  if (delayMs >= leftMs) return true;
  if (!hasRoomElsewhere) return false;
  const allowedMs = objectiveMs * NODE_DELAY_RATIO - waitedMs;
  return delayMs > allowedMs && ELSEWHERE_MS <= allowedMs;
}
