/**
 * Positions in [0, 1) at which nodes draw upstreams. Random draws of many nodes bunch:
 * in the time between two reports of load an upstream gets by chance a multiple of what
 * another gets. Here all nodes use one low-discrepancy sequence of their own offsets, so
 * that the draws of all nodes together lie evenly, as long as they see similar load. A
 * new offset for each period keeps busy nodes from drawing the same upstreams for long.
 * Pure functions only.
 */

/** Fractional parts of the golden ratio and of its counterpart in two dimensions. */
const STEP_RATIO = 0.6180339887498949;
const PERIOD_STEP_RATIO = 0.7548776662466927;

/** What a node remembers of its draws. */
export interface SpreadPositions {
  period: number;
  /** Draws in the period, by what is drawn for. */
  readonly draws: Map<string, number>;
}

export function createSpreadPositions(): SpreadPositions {
  return {period: -1, draws: new Map()};
}

/** The next position of a node, whose offset in [0, 1) is its own among all nodes. */
export function nextPosition(
  positions: SpreadPositions,
  key: string,
  period: number,
  offset: number,
): number {
  if (period !== positions.period) {
    positions.period = period;
    positions.draws.clear();
  }
  const draw = positions.draws.get(key) ?? 0;
  positions.draws.set(key, draw + 1);
  const position = offset + draw * STEP_RATIO + period * PERIOD_STEP_RATIO;
  return position - Math.floor(position);
}
