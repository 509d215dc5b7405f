/** What a leaving allocator tells its successor, so that it can grant at once. */
import {
  createAllocation,
  isWaiting,
  setLimits,
  type Grant,
  type Allocation,
} from './credit.js';

/** A grant as it is told; times are relative, since clocks differ. */
export interface ToldGrant {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly credits: number;
  /** Milliseconds that the grant is still good for. */
  readonly ttlMs: number;
}

/** An allocation as it is told. */
export interface ToldAllocation {
  readonly limit: number;
  readonly successes: number;
  readonly upstreamIncarnation: number;
  readonly grants: readonly ToldGrant[];
}

/**
 * Describes an allocation that grants nothing from now on. An allocator that still
 * waits for reports does not know all that is held, and has nothing to tell.
 */
export function tellAllocation(
  state: Allocation,
  now: number,
): ToldAllocation | undefined {
  if (isWaiting(state, now)) return undefined;
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

/** Takes over an allocation that was told at a local time. */
export function takeAllocation(
  told: ToldAllocation,
  toldAt: number,
  coldLimit: number,
  warmLimit: number,
): Allocation {
  const grants = new Map<string, Grant>();
  for (const {node, ttlMs, ...grant} of told.grants)
    grants.set(node, {...grant, expiresAt: toldAt + ttlMs});
  const {limit, successes, upstreamIncarnation} = told;
  const fresh = createAllocation(coldLimit, warmLimit, 0, []);
  const state = {...fresh, limit, successes, upstreamIncarnation, grants};
  return setLimits(state, coldLimit, warmLimit);
}
