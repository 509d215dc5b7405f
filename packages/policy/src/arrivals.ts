/**
 * How much work all nodes are expected to send in some time, by what this node sent: the
 * load balancer spreads callers over nodes without regard to what they ask for. Answers
 * load that changes within seconds. The time constant bounds the error of both: a change
 * of the load, and the chance of a few requests. Pure functions only.
 */

/** Time constant of the averages, milliseconds. */
const AVERAGING_MS = 4_000;
/** Number of keys that are kept; the ones that were not sent for longest are dropped. */
const MAX_KEY_COUNT = 2_000;

interface Average {
  readonly sum: number;
  readonly at: number;
}

/** Amounts sent by this node, by key, as sums that decay with time. */
export type Arrivals = Map<string, Average>;

function decay({sum, at}: Average, now: number): number {
  return sum * Math.exp(-(now - at) / AVERAGING_MS);
}

/** Records that an amount was sent. */
export function recordArrival(
  arrivals: Arrivals,
  key: string,
  amount: number,
  now: number,
): void {
  const known = arrivals.get(key);
  // Re-insertion keeps the map in order of use, so the oldest are evicted first.
  arrivals.delete(key);
  arrivals.set(key, {sum: amount + (known ? decay(known, now) : 0), at: now});
  for (const oldest of arrivals.keys()) {
    if (arrivals.size <= MAX_KEY_COUNT) break;
    arrivals.delete(oldest);
  }
}

/** Amount below which an arrival is too old to count. */
const MIN_RECENT_AMOUNT = 0.1;

/** Amount sent in the last seconds; older ones count less, and the oldest not at all. */
export function countRecent(
  arrivals: Arrivals,
  key: string,
  now: number,
): number {
  const known = arrivals.get(key);
  const amount = known ? decay(known, now) : 0;
  return amount < MIN_RECENT_AMOUNT ? 0 : amount;
}

/** Amount that this node is expected to send in some time. */
export function expectArrivals(
  arrivals: Arrivals,
  key: string,
  now: number,
  durationMs: number,
  /** Amount of the last seconds that may be chance and is left out. */
  chance = 0,
): number {
  const known = arrivals.get(key);
  if (!known) return 0;
  const certain = Math.max(0, decay(known, now) - chance);
  return (certain / AVERAGING_MS) * durationMs;
}
