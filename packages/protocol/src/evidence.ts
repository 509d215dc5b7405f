/**
 * Grow-only counters that are replicated between nodes (a G-counter CRDT). Each
 * shard holds the counters of one node for one incarnation and one time window,
 * and they only grow, so merging takes the larger value: reordered and repeated
 * messages and the loss of a node do no harm. Totals are kept next to the
 * shards, so that the cost of reading one does not grow with the number of
 * nodes.
 */

/** Length of a time window; all but the last two windows are dropped. */
export const COUNTER_WINDOW_MS = 6 * 3_600_000;

/** The node, incarnation and time window that a shard belongs to. */
export interface ShardOwner {
  readonly node: string;
  readonly incarnation: number;
  /** Number of the window: wall clock divided by the window length. */
  readonly window: number;
}

/** Counters of a shard, or a subset of them. */
export interface CounterShard extends ShardOwner {
  readonly counters: Readonly<Record<string, number>>;
}

interface StoredShard extends ShardOwner {
  readonly counters: Map<string, number>;
}

/** Counters of all nodes. */
export interface ReplicatedCounters {
  readonly shards: Map<string, StoredShard>;
  readonly totals: Map<string, number>;
}

export function createReplicatedCounters(): ReplicatedCounters {
  return {shards: new Map(), totals: new Map()};
}

function getShard(
  replicated: ReplicatedCounters,
  owner: ShardOwner,
): StoredShard {
  const {node, incarnation, window} = owner;
  const key = `${node}/${incarnation}/${window}`;
  const known = replicated.shards.get(key);
  if (known) return known;
  const created = {node, incarnation, window, counters: new Map()};
  replicated.shards.set(key, created);
  return created;
}

function addToTotal(
  replicated: ReplicatedCounters,
  name: string,
  amount: number,
): void {
  replicated.totals.set(name, (replicated.totals.get(name) ?? 0) + amount);
}

/**
 * Merges counters of another node; counters that are not given stay as they
 * are.
 */
export function mergeShard(
  replicated: ReplicatedCounters,
  shard: CounterShard,
): void {
  const {counters} = getShard(replicated, shard);
  for (const [name, value] of Object.entries(shard.counters)) {
    const known = counters.get(name) ?? 0;
    if (value <= known) continue;
    counters.set(name, value);
    addToTotal(replicated, name, value - known);
  }
}

/** Increments a counter of the node's own shard. */
export function incrementCounter(
  replicated: ReplicatedCounters,
  owner: ShardOwner,
  name: string,
): void {
  const {counters} = getShard(replicated, owner);
  counters.set(name, (counters.get(name) ?? 0) + 1);
  addToTotal(replicated, name, 1);
}

/** Sum of one counter over all nodes. */
export function readTotal(
  replicated: ReplicatedCounters,
  name: string,
): number {
  return replicated.totals.get(name) ?? 0;
}

/**
 * Returns the counters of a shard whose values differ from those that were sent
 * before.
 */
export function collectChangedCounters(
  replicated: ReplicatedCounters,
  owner: ShardOwner,
  sent: ReadonlyMap<string, number>,
): CounterShard {
  const {counters} = getShard(replicated, owner);
  const changed = [...counters].filter(
    ([name, value]) => sent.get(name) !== value,
  );
  return {...owner, counters: Object.fromEntries(changed)};
}

/** Drops the shards of windows before the previous one. */
export function dropOldWindows(
  replicated: ReplicatedCounters,
  window: number,
): void {
  for (const [key, shard] of replicated.shards) {
    if (shard.window >= window - 1) continue;
    for (const [name, value] of shard.counters)
      addToTotal(replicated, name, -value);
    replicated.shards.delete(key);
  }
}
