/**
 * How long work takes at an upstream now, relative to the usual time, from what it says
 * in its answers. An upstream may share its VM with others, so that a reading holds for a
 * moment only; a VM on which many readings were high is likely to stay disturbed for a
 * while. Answers load on upstreams of unequal and changing speed. Readings are kept as
 * sums that decay, which nodes can add up; without readings the time is as usual. Pure
 * functions only.
 */

/** Time constant with which readings lose weight, milliseconds. */
const HISTORY_MS = 1_000;
/** Time constant with which the last reading stops to tell of the present moment. */
const MOMENT_MS = 200;
/** Readings that the assumption of the usual time counts for. */
const USUAL_WEIGHT = 1;
/** Readings of one upstream as sums at a time. */
export interface PaceSums {
  /** Sum of the readings, each with its weight. */
  readonly sum: number;
  readonly weight: number;
  readonly at: number;
}

/** Readings of this node, of which it knows the last one exactly. */
export interface PaceHistory extends PaceSums {
  readonly last: number;
}

/** The sums as they are at a later time. */
export function decayPace({sum, weight, at}: PaceSums, now: number): PaceSums {
  const ratio = Math.exp(-Math.max(0, now - at) / HISTORY_MS);
  return {sum: sum * ratio, weight: weight * ratio, at: now};
}

/** Adds a reading. */
export function recordPace(
  known: PaceSums | undefined,
  factor: number,
  now: number,
): PaceHistory {
  const {sum, weight} = known ? decayPace(known, now) : {sum: 0, weight: 0};
  return {sum: sum + factor, weight: weight + 1, at: now, last: factor};
}

/** Time that work takes now, relative to the usual time, by own and others' readings. */
export function estimatePace(
  own: PaceHistory | undefined,
  others: PaceSums | undefined,
  now: number,
): number {
  let sum = USUAL_WEIGHT;
  let weight = USUAL_WEIGHT;
  for (const known of [own, others]) {
    if (!known) continue;
    const decayed = decayPace(known, now);
    sum += decayed.sum;
    weight += decayed.weight;
  }
  const lasting = sum / weight;
  if (!own) return lasting;
  const momentary = Math.exp(-Math.max(0, now - own.at) / MOMENT_MS);
  return lasting + (own.last - lasting) * momentary;
}
