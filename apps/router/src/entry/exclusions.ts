/** Which upstreams a request may not use, and what is left. */
import type {Exchange} from './exchange.js';
import {workAt} from './load.js';
import type {EntryNode, UpstreamState} from './node.js';
import {isLeaving, pausedUntil} from './notices.js';
import {allowsVersion} from './versions.js';

const PAUSED = 'paused';

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
  return undefined;
}

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

/** Work at the least loaded upstream that the request may use, tried or not. */
export function findLeastWork(node: EntryNode, exchange: Exchange): number {
  let leastWork = Infinity;
  for (const state of node.upstreams.values()) {
    const exclusion = findExclusion(node, exchange, state);
    if (exclusion && exclusion !== 'tried') continue;
    leastWork = Math.min(leastWork, workAt(node, state));
  }
  return leastWork === Infinity ? 0 : leastWork;
}

/** Time until the first upstream that wants no requests now may be used again. */
function findEarliestEnd(node: EntryNode, exchange: Exchange) {
  let earliest = Infinity;
  for (const state of node.upstreams.values()) {
    if (findExclusion(node, exchange, state) !== PAUSED) continue;
    earliest = Math.min(earliest, pausedUntil(node, state.registered));
  }
  return earliest === Infinity ? undefined : earliest - node.clock();
}

/**
 * Time until an upstream may be used again that wants no requests now,
 * milliseconds; `undefined` if there is none, or if another upstream is left to
 * which the request was not sent.
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
