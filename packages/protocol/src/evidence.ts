/**
 * Counts that nodes learn and share. Each node's counters only grow within an
 * incarnation and a window, so merging takes the larger value: order, repeats
 * and the loss of a node do no harm. Totals are kept beside the shares, so that
 * reading one does not grow with the number of nodes.
 */

/** Length of a window; older windows than the last two are dropped. */
export const WINDOW_MS = 6 * 3_600_000;

/** Whose counters a share holds. */
export interface ShareOwner {
  readonly node: string;
  readonly incarnation: number;
  /** Number of the window, wall clock divided by its length. */
  readonly window: number;
}

/** Counters of one node, one incarnation and one window, or some of them. */
export interface Share extends ShareOwner {
  readonly counters: Readonly<Record<string, number>>;
}

interface KnownShare extends ShareOwner {
  readonly counters: Map<string, number>;
}

/** The counters of all nodes. */
export interface Evidence {
  readonly shares: Map<string, KnownShare>;
  readonly totals: Map<string, number>;
}

/** Evidence without counters. */
export function createEvidence(): Evidence {
  return {shares: new Map(), totals: new Map()};
}

function shareOf(evidence: Evidence, owner: ShareOwner): KnownShare {
  const {node, incarnation, window} = owner;
  const key = `${node}/${incarnation}/${window}`;
  const known = evidence.shares.get(key);
  if (known) return known;
  const created = {node, incarnation, window, counters: new Map()};
  evidence.shares.set(key, created);
  return created;
}

function raiseTotal(evidence: Evidence, name: string, amount: number): void {
  evidence.totals.set(name, (evidence.totals.get(name) ?? 0) + amount);
}

/** Merges another node's counters; those left out stay as they are. */
export function mergeShare(evidence: Evidence, share: Share): void {
  const {counters} = shareOf(evidence, share);
  for (const [name, value] of Object.entries(share.counters)) {
    const known = counters.get(name) ?? 0;
    if (value <= known) continue;
    counters.set(name, value);
    raiseTotal(evidence, name, value - known);
  }
}

/** Adds one to a counter of the node's own. */
export function addCount(
  evidence: Evidence,
  owner: ShareOwner,
  name: string,
): void {
  const {counters} = shareOf(evidence, owner);
  counters.set(name, (counters.get(name) ?? 0) + 1);
  raiseTotal(evidence, name, 1);
}

/** Sum of one counter over all nodes. */
export function totalOf(evidence: Evidence, name: string): number {
  return evidence.totals.get(name) ?? 0;
}

/**
 * The counters of a share that differ from what was told before, and what has
 * then been told.
 */
export function changesSince(
  evidence: Evidence,
  owner: ShareOwner,
  told: ReadonlyMap<string, number>,
): Share {
  const {counters} = shareOf(evidence, owner);
  const changed = [...counters].filter(
    ([name, value]) => told.get(name) !== value,
  );
  return {...owner, counters: Object.fromEntries(changed)};
}

/** Drops windows that are too old to count. */
export function dropOldWindows(evidence: Evidence, window: number): void {
  for (const [key, share] of evidence.shares) {
    if (share.window >= window - 1) continue;
    for (const [name, value] of share.counters)
      raiseTotal(evidence, name, -value);
    evidence.shares.delete(key);
  }
}
