/**
 * How a node that no longer knows whether it is current regains contact: how often it
 * calls the store, and which other nodes it asks. All ways are tried at the same time
 * and each wait is bounded by the time in which a change must be in force, so that no
 * wait outlives the disruption by more than that. Answers the load that a store
 * gets from all nodes in an outage. Pure functions only.
 */

/** What decides how often a node calls a store that does not answer. */
export interface StoreContact {
  /** Whether the other nodes depend on this node's calls. */
  readonly isWatcher: boolean;
  /** Time since another node has answered this one, milliseconds. */
  readonly sincePeerMs: number;
  readonly nodeCount: number;
  /** Time in which a change must be in force, milliseconds. */
  readonly applyMs: number;
}

/**
 * Longest pauses, relative to the time in which a change must be in force: a node that
 * reaches the store again must be current after a little more than that.
 */
const MAX_WATCHER_PAUSE_RATIO = 1 / 4;
const MAX_ISOLATED_PAUSE_RATIO = 1 / 2;
/** Calls per second to a store that does not answer, by all followers together. */
const MAX_CALLS_PER_SECOND = 50;
const MAX_FOLLOWER_PAUSE_MS = 4_000;

/**
 * Longest pause after a failed call to the store. Watchers find out first that the
 * store is back, and followers learn it from them; an isolated node has only itself.
 */
export function maxStorePauseMs({
  isWatcher,
  sincePeerMs,
  nodeCount,
  applyMs,
}: StoreContact): number {
  if (isWatcher) return applyMs * MAX_WATCHER_PAUSE_RATIO;
  const isolatedPauseMs = applyMs * MAX_ISOLATED_PAUSE_RATIO;
  if (sincePeerMs > applyMs) return isolatedPauseMs;
  const sharedPauseMs = (nodeCount / MAX_CALLS_PER_SECOND) * 1_000;
  return Math.max(
    isolatedPauseMs,
    Math.min(MAX_FOLLOWER_PAUSE_MS, sharedPauseMs),
  );
}

/** Pause after a watch that no change has ended, milliseconds. */
const QUIET_PAUSE_MS = 50;
/** Pause after one that changes have ended, relative to the time to apply a change. */
const SERIES_PAUSE_RATIO = 1 / 16;

/**
 * Pause before the next watch. Changes often come in series, such as the upstreams of a
 * service that start together; those that follow the first one share a call.
 */
export function watchPauseMs(applyMs: number, hadChanges: boolean): number {
  if (!hadChanges) return QUIET_PAUSE_MS;
  return Math.max(QUIET_PAUSE_MS, applyMs * SERIES_PAUSE_RATIO);
}

/** Shortest and longest time between two rounds of questions to other nodes. */
const MIN_ROUND_MS = 250;
const MAX_ROUND_MS = 1_000;
const ROUND_PER_NODE_MS = 5;

/** Time between two rounds of questions to other nodes, milliseconds. */
export function roundIntervalMs(nodeCount: number): number {
  return Math.min(
    MAX_ROUND_MS,
    Math.max(MIN_ROUND_MS, nodeCount * ROUND_PER_NODE_MS),
  );
}

/**
 * The nodes to ask in a round: the preferred source, another source by turns, and
 * any other node, as a source may be cut off from the store too.
 */
export function chooseRoundSources(
  sources: readonly string[],
  others: readonly string[],
  round: number,
  draw: number,
): string[] {
  const [preferred, ...rest] = sources;
  const chosen = [
    preferred,
    rest[round % rest.length],
    others[Math.floor(draw * others.length)],
  ];
  return [...new Set(chosen)].filter(name => name !== undefined);
}
