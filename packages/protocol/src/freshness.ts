/**
 * Whether a node may act on its configuration. A node that cannot confirm its
 * revision goes on only while every listed peer reports that the store is out
 * of reach: then nothing can have been accepted.
 */
import {HEARD_BOUND_MS, type Membership} from './membership.js';

/** Age of the last confirmation up to which a configuration is acted on. */
export const FRESH_BOUND_MS = 5_000;

/** The store tail of one node. */
export interface Tail {
  /** Local monotonic milliseconds at which the revision was the newest. */
  readonly confirmedAt: number;
  readonly storeReachable: boolean;
}

/** Why a node may or may not serve. */
export const Freshness = {
  confirmed: 'confirmed',
  /** The store is out of reach for every listed node. */
  storeDown: 'store-down',
  /** A peer may have seen a change that this node has not. */
  stale: 'stale',
} as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** Judges the configuration of a node at a moment. */
export function judgeFreshness(
  tail: Tail,
  membership: Membership,
  now: number,
): Freshness {
  if (now - tail.confirmedAt <= FRESH_BOUND_MS) return Freshness.confirmed;
  if (tail.storeReachable) return Freshness.stale;
  for (const node of membership.listed.keys()) {
    const heard = membership.beats.get(node);
    if (!heard) return Freshness.stale;
    if (now - heard.sentAt > HEARD_BOUND_MS) return Freshness.stale;
    if (heard.beat.storeReachable) return Freshness.stale;
  }
  return Freshness.storeDown;
}

/**
 * The newest confirmation that peers at our revision can vouch for. Peers at
 * another revision say nothing of ours.
 */
export function relayedConfirmation(
  membership: Membership,
  revision: number,
): number {
  let newest = -Infinity;
  for (const {beat, sentAt} of membership.beats.values()) {
    if (beat.revision !== revision) continue;
    newest = Math.max(newest, sentAt - beat.confirmedAgeMs);
  }
  return newest;
}
