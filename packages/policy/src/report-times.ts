/**
 * Times of the nodes' reports on a roll-out to its holder. The holder answers the
 * reports of all nodes, so these are rarer in a large deployment, and whatever
 * waits for reports waits longer there. Pure functions only.
 */

/** Shortest and longest time between two reports of a node, milliseconds. */
const MIN_REPORT_INTERVAL_MS = 400;
const MAX_REPORT_INTERVAL_MS = 1_500;
const REPORT_INTERVAL_PER_NODE_MS = 8;

/** Time limit of a report, milliseconds. */
export const REPORT_TIMEOUT_MS = 800;

/** Shortest time that is allowed for two rounds of reports, milliseconds. */
const MIN_TWO_ROUNDS_MS = 2_500;

/** Missed reports after which a node counts as out of touch with the holder. */
const MISSED_REPORTS = 3;
/** Shortest time for that, milliseconds; a new holder is found within it. */
const MIN_OUT_OF_TOUCH_MS = 3_000;

/** Time between two reports of a node, milliseconds. */
export function reportIntervalMs(nodeCount: number): number {
  return Math.min(
    MAX_REPORT_INTERVAL_MS,
    Math.max(MIN_REPORT_INTERVAL_MS, nodeCount * REPORT_INTERVAL_PER_NODE_MS),
  );
}

/**
 * Time between two steps of a node, milliseconds. A holder decides, and renews its
 * lease, as often in a large deployment as in a small one.
 */
export function stepIntervalMs(nodeCount: number, isHolder: boolean): number {
  return isHolder ? MIN_REPORT_INTERVAL_MS : reportIntervalMs(nodeCount);
}

/** Time in which every node has reported once, milliseconds. */
export function oneRoundMs(nodeCount: number): number {
  return reportIntervalMs(nodeCount) + REPORT_TIMEOUT_MS;
}

/**
 * Time in which every node has reported and has received, with its next report,
 * what the others reported; milliseconds.
 */
export function twoRoundsMs(nodeCount: number): number {
  return Math.max(
    MIN_TWO_ROUNDS_MS,
    2 * reportIntervalMs(nodeCount) + REPORT_TIMEOUT_MS,
  );
}

/**
 * Time without an answer of the holder after which a node assigns no new sessions
 * to a version that is being rolled out: its counts may not reach a decision.
 */
export function outOfTouchMs(nodeCount: number): number {
  return Math.max(
    MIN_OUT_OF_TOUCH_MS,
    reportIntervalMs(nodeCount) * MISSED_REPORTS,
  );
}
