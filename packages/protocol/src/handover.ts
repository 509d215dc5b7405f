/**
 * The state that a stopping allocator transfers to its successor, so that the
 * successor can grant credits at once.
 */
import {
  createAllocation,
  isRecovering,
  setLimits,
  type Grant,
  type Allocation,
} from './credit.js';

/**
 * A grant in a snapshot. Times are relative, since the clocks of nodes differ.
 */
export interface GrantSnapshot {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly credits: number;
  /** Remaining validity of the grant in milliseconds. */
  readonly ttlMs: number;
}

/** Serializable state of an allocation at one moment. */
export interface AllocationSnapshot {
  readonly limit: number;
  readonly successes: number;
  readonly upstreamIncarnation: number;
  readonly grants: readonly GrantSnapshot[];
}

/**
 * Takes a snapshot of an allocation, which must grant nothing afterwards.
 * Returns undefined while the allocator is recovering, since it does not know
 * all outstanding credits.
 */
export function snapshotAllocation(
  state: Allocation,
  now: number,
): AllocationSnapshot | undefined {
  if (isRecovering(state, now)) return undefined;
  const {limit, successes, upstreamIncarnation} = state;
  const grants = [...state.grants].map(([node, grant]) => ({
    node,
    incarnation: grant.incarnation,
    sequence: grant.sequence,
    credits: grant.credits,
    ttlMs: Math.max(0, Math.ceil(grant.expiresAt - now)),
  }));
  return {limit, successes, upstreamIncarnation, grants};
}

/** Restores an allocation from a snapshot that was received at a local time. */
export function restoreAllocation(
  snapshot: AllocationSnapshot,
  receivedAt: number,
  coldLimit: number,
  warmLimit: number,
): Allocation {
  const grants = new Map<string, Grant>();
  for (const {node, ttlMs, ...grant} of snapshot.grants)
    grants.set(node, {...grant, expiresAt: receivedAt + ttlMs});
  const {limit, successes, upstreamIncarnation} = snapshot;
  const initial = createAllocation(coldLimit, warmLimit, 0, []);
  const state = {...initial, limit, successes, upstreamIncarnation, grants};
  return setLimits(state, coldLimit, warmLimit);
}
