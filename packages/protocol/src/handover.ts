/** What a leaving steward tells its successor, so that it can grant at once. */
import {
  createStewardship,
  isWaiting,
  setLimits,
  type Grant,
  type Stewardship,
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

/** A stewardship as it is told. */
export interface ToldStewardship {
  readonly limit: number;
  readonly successes: number;
  readonly upstreamIncarnation: number;
  readonly grants: readonly ToldGrant[];
}

/**
 * Describes a stewardship that grants nothing from now on. A steward that still
 * waits for reports does not know all that is held, and has nothing to tell.
 */
export function tellStewardship(
  state: Stewardship,
  now: number,
): ToldStewardship | undefined {
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

/** Takes over a stewardship that was told at a local time. */
export function takeStewardship(
  told: ToldStewardship,
  toldAt: number,
  coldLimit: number,
  warmLimit: number,
): Stewardship {
  const grants = new Map<string, Grant>();
  for (const {node, ttlMs, ...grant} of told.grants)
    grants.set(node, {...grant, expiresAt: toldAt + ttlMs});
  const {limit, successes, upstreamIncarnation} = told;
  const fresh = createStewardship(coldLimit, warmLimit, 0, []);
  const state = {...fresh, limit, successes, upstreamIncarnation, grants};
  return setLimits(state, coldLimit, warmLimit);
}
