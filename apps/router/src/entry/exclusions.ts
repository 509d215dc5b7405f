/** Which upstreams a request may not use, and what is left. */
import {expectMeanWorkAhead} from '@parsleyarch/policy/stale-load';
import {timeUntilRoom} from './brittle-upstreams.js';
import type {Exchange} from './exchange.js';
import {choosesByLevel, loadAt, workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {isLeaving, pausedUntil} from './notices.js';
import {timeUntilShare} from './upstream-limits.js';
import {allowsVersion} from './versions.js';

const PAUSED = 'paused';
/** This node may not send now under the limit that the upstream names. */
const LIMITED = 'limited';
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
  if (!allowsVersion(node, exchange, registered.version)) return 'version';
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

/**
 * Time until the first exclusion ends; infinite if only other nodes may use the
 * upstreams, `undefined` if no exclusion ends by itself.
 */
function findEarliestEnd(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  let earliestMs: number | undefined;
  for (const state of node.upstreams.values()) {
    const exclusion = findExclusion(node, exchange, state);
    if (!exclusion || !(exclusion in EXCLUSION_TIMES)) continue;
    const timeMs = EXCLUSION_TIMES[exclusion](node, state);
    earliestMs = Math.min(earliestMs ?? Infinity, timeMs);
  }
  return earliestMs;
}

/**
 * Time until an upstream may be used again that wants no requests now or has used
 * up its limit, milliseconds; infinite if this node has no share of the limits,
 * `undefined` if there is no such upstream, or if another one is left to which the
 * request was not sent.
 */
export function findPauseMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  if (hasUntriedUpstream(node, exchange)) return undefined;
  return findEarliestEnd(node, exchange);
}

/** The same for a later request of the caller, which may use any upstream. */
export function findRetryPauseMs(
  node: EntryNode,
  exchange: Exchange,
): number | undefined {
  return findPauseMs(node, {...exchange, triedUpstreams: new Set()});
}
