/** The time after which callers of refused requests are told to come back. */
import {computeRetryMs} from '@parsleyarch/policy/retry-time';
import {RETRY_AFTER_MS, type Exchange} from './exchange.js';
import {findRetryRoomMs} from './exclusions.js';
import type {EntryNode} from './node.js';
import {dropExpired} from './upstream-records.js';
import type {Refusal} from './waiting.js';

/** Time for which refused requests count as a crowd, milliseconds. */
const CROWD_MS = 1_000;

/** Requests that all nodes have lately refused, if they refuse as many as this one. */
function countCrowd(node: EntryNode, service: string): number {
  const now = node.clock();
  const times = node.refusedAt.get(service) ?? [];
  dropExpired(times, now - CROWD_MS);
  times.push(now);
  node.refusedAt.set(service, times);
  return times.length * Math.max(1, node.members.size);
}

/** Time after which the caller of a refused request should retry, milliseconds. */
export function findRetryAfterMs(
  node: EntryNode,
  exchange: Exchange,
  refusal?: Refusal,
): number {
  const {caller, route, startedAt, service} = exchange;
  const callerLeavesAt = startedAt + (caller.deadlineMs ?? route.timeoutMs);
  const isCrowded = refusal?.kind === 'overloaded';
  const roomMs = isCrowded ? refusal.roomMs : findRetryRoomMs(node, exchange);
  // Other nodes may have a share of a limit where this one has none.
  const knownMs = roomMs === Infinity ? 0 : roomMs;
  const refused = {
    roomMs:
      knownMs === undefined ? undefined : Math.max(RETRY_AFTER_MS, knownMs),
    leftMs: callerLeavesAt - node.clock(),
    crowd: countCrowd(node, service),
  };
  return computeRetryMs(refused, node.random());
}
