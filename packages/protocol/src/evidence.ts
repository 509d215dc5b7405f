/**
 * Counts that nodes learn and share. Each node's counters only grow within an
 * incarnation and a window, so merging takes the larger value: order, repeats
 * and the loss of a node do no harm.
 */

/** Length of a window; older windows than the last two are dropped. */
export const WINDOW_MS = 6 * 3_600_000;

/** Counters of one node, one incarnation and one window. */
export interface Share {
  readonly node: string;
  readonly incarnation: number;
  /** Number of the window, wall clock divided by its length. */
  readonly window: number;
  readonly counters: Readonly<Record<string, number>>;
}

/** The counters of all nodes. */
export type Evidence = ReadonlyMap<string, Share>;

/** No counters. */
export const NO_EVIDENCE: Evidence = new Map();

function shareKey({node, incarnation, window}: Omit<Share, 'counters'>) {
  return `${node}/${incarnation}/${window}`;
}

/** Merges another node's counters. */
export function mergeShare(evidence: Evidence, share: Share): Evidence {
  const key = shareKey(share);
  const counters = {...evidence.get(key)?.counters};
  for (const [name, value] of Object.entries(share.counters))
    counters[name] = Math.max(counters[name] ?? 0, value);
  return new Map(evidence).set(key, {...share, counters});
}

/** Adds to this node's own counters. */
export function addCount(
  evidence: Evidence,
  owner: Omit<Share, 'counters'>,
  name: string,
  amount = 1,
): Evidence {
  const key = shareKey(owner);
  const known = evidence.get(key)?.counters ?? {};
  const counters = {...known, [name]: (known[name] ?? 0) + amount};
  return new Map(evidence).set(key, {...owner, counters});
}

/** Sum of one counter over all nodes. */
export function totalOf(evidence: Evidence, name: string): number {
  let total = 0;
  for (const {counters} of evidence.values()) total += counters[name] ?? 0;
  return total;
}

/** Drops windows that are too old to count. */
export function dropOldWindows(evidence: Evidence, window: number): Evidence {
  const kept = [...evidence].filter(([, share]) => share.window >= window - 1);
  return new Map(kept);
}
