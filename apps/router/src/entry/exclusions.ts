/** Which upstreams a request may not use, and what is left. */
import {expectMeanWorkAhead} from '@parsleyarch/policy/stale-load';
import {timeUntilRoom} from './brittle-upstreams.js';
import type {Exchange} from './exchange.js';
import {choosesByLevel, loadAt, workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {isLeaving, pausedUntil} from './notices.js';
import {timeUntilShare} from './upstream-limits.js';
import {timeUntilColdRoom} from './upstream-records.js';
import {allowsVersion} from './versions.js';

const PAUSED = 'paused';
/** This node may not send now under the limit that the upstream names. */
const LIMITED = 'limited';
/** The request belongs to another version of a service in a roll-out. */
const OTHER_VERSION = 'version';
/** A brittle upstream would refuse more requests. */
const FULL = 'full';

/** Returns why a request cannot use an upstream, or `undefined` if it can. */
export function findExclusion(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
): string | undefined {
  const {registered} = state;
  if (registered.service !== exchange.service) return 'other service';
  if (registered.draining || isLeaving(node, registered)) return 'draining';
  if (pausedUntil(node, registered) > node.clock()) return PAUSED;
  if (node.evacuated.has(registered.failureDomain)) return 'domain out';
  if (exchange.triedUpstreams.has(registered.id)) return 'tried';
  if (!allowsVersion(node, exchange, registered.version)) return OTHER_VERSION;
  if (timeUntilShare(node, state) > 0) return LIMITED;
  if (timeUntilRoom(node, state) > 0) return FULL;
  return undefined;
}

/** Time until an exclusion ends, for those that end after a known time. */
const EXCLUSION_TIMES: Readonly<
  Record<string, (node: EntryNode, state: UpstreamState) => number>
> = {
  [PAUSED]: (node, {registered}) =>
    pausedUntil(node, registered) - node.clock(),
  [LIMITED]: timeUntilShare,
  [FULL]: timeUntilRoom,
};

/** Whether a usable upstream is left to which the request was not sent. */
export function hasUntriedUpstream(
  node: EntryNode,
  exchange: Exchange,
): boolean {
  for (const state of node.upstreams.values()) {
    if (!findExclusion(node, exchange, state)) return true;
  }
  return false;
}

/** Upstreams of a request's service: those that it may use, and all of them. */
export function countUsableUpstreams(
  node: EntryNode,
  exchange: Exchange,
): {usable: number; registered: number} {
  let usable = 0;
  let registered = 0;
  for (const state of node.upstreams.values()) {
    if (state.registered.service !== exchange.service) continue;
    registered += 1;
    if (findExclusion(node, exchange, state)) continue;
    if (node.clock() >= state.backoffUntil) usable += 1;
  }
  return {usable, registered};
}

/** Work that a request is expected to find where it is sent next, tried or not. */
export function findWorkAhead(node: EntryNode, exchange: Exchange): number {
  const usable: UpstreamState[] = [];
  for (const state of node.upstreams.values()) {
    const exclusion = findExclusion(node, exchange, state);
    if (!exclusion || exclusion === 'tried') usable.push(state);
  }
  if (usable.length === 0) return 0;
  // All nodes fill upstreams to one level; else the least loaded one is chosen.
  return choosesByLevel(node)
    ? expectMeanWorkAhead(usable.map(state => loadAt(node, state)))
    : Math.min(...usable.map(state => workAt(node, state)));
}

/** Exclusions that may end at any moment, with what other nodes decide. */
const OPEN_EXCLUSIONS: ReadonlySet<string> = new Set([OTHER_VERSION]);

function timeUntilUsable(
  node: EntryNode,
  exchange: Exchange,
  state: UpstreamState,
): number | undefined {
  const exclusion = findExclusion(node, exchange, state);
  if (!exclusion) {
    const service = node.routes?.table.services.get(exchange.service);
    return timeUntilColdRoom(node, service, state);
  }
  if (OPEN_EXCLUSIONS.has(exclusion)) return 0;
  return EXCLUSION_TIMES[exclusion]?.(node, state);
}

/**
 * Time until an upstream may be able to accept a request, milliseconds: 0 if one may
 * register at any moment, infinite if only other nodes may use the upstreams,
 * `undefined` if nothing is known that would make one usable.
 */
export function findRoomMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  let earliestMs: number | undefined;
  let registered = 0;
  for (const state of node.upstreams.values()) {
    if (state.registered.service !== exchange.service) continue;
    registered += 1;
    const timeMs = timeUntilUsable(node, exchange, state);
    if (timeMs === undefined) continue;
    earliestMs = Math.min(earliestMs ?? Infinity, timeMs);
  }
  return registered === 0 ? 0 : earliestMs;
}

/** The same for a later request of the caller, which may use any upstream. */
export function findRetryRoomMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  return findRoomMs(node, {...exchange, triedUpstreams: new Set()});
}
