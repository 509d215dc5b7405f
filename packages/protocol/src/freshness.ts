/**
 * Decides whether a node may act on its configuration. A node that cannot
 * confirm its revision continues only while every listed peer reports that the
 * store is unreachable: no change can have been accepted then.
 */
import {HEARTBEAT_TIMEOUT_MS, type Membership} from './membership.js';

/**
 * Age of the last confirmation up to which a node acts on its configuration.
 */
export const MAX_CONFIRMATION_AGE_MS = 5_000;

/** State of a node's reading of the configuration log in the store. */
export interface LogTail {
  /** Local monotonic milliseconds at which the revision was the newest. */
  readonly confirmedAt: number;
  readonly storeReachable: boolean;
}

/** Freshness of a configuration, which decides whether a node may serve. */
export const Freshness = {
  confirmed: 'confirmed',
  /** The store is unreachable for the node and for every listed peer. */
  storeDown: 'store-down',
  /** A peer may have seen a change that this node has not. */
  stale: 'stale',
} as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

export function assessFreshness(
  tail: LogTail,
  membership: Membership,
  now: number,
): Freshness {
  if (now - tail.confirmedAt <= MAX_CONFIRMATION_AGE_MS)
    return Freshness.confirmed;
  if (tail.storeReachable) return Freshness.stale;
  for (const node of membership.listed.keys()) {
    const last = membership.heartbeats.get(node);
    if (!last) return Freshness.stale;
    if (now - last.sentAt > HEARTBEAT_TIMEOUT_MS) return Freshness.stale;
    if (last.heartbeat.storeReachable) return Freshness.stale;
  }
  return Freshness.storeDown;
}

/**
 * Returns the latest local time at which a peer at the same revision confirmed
 * that revision to be the newest, or -Infinity. Peers at other revisions are
 * ignored, since they confirm nothing about this one.
 */
export function findLatestPeerConfirmation(
  membership: Membership,
  revision: number,
): number {
  let latest = -Infinity;
  for (const {heartbeat, sentAt} of membership.heartbeats.values()) {
    if (heartbeat.revision !== revision) continue;
    latest = Math.max(latest, sentAt - heartbeat.confirmedAgeMs);
  }
  return latest;
}
