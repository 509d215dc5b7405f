/** What a node records of its sends to an upstream, and the cold limit on them. */
import {limitColdSends} from '@parsleyarch/policy/upstream-choice';
import {rankMember} from '@parsleyarch/policy/rendezvous';
import type {PooledService} from '@parsleyarch/resource/routing';
import type {Exchange} from './exchange.js';
import type {EntryNode, UpstreamState} from './node.js';
import {recordPromptSent} from './placing.js';
import {promptSegmentKeys} from './prompt-cache.js';
import {consumeShare} from './upstream-limits.js';

/** Bounds of the exponential backoff after failed connections. */
const MIN_CONNECT_BACKOFF_MS = 500;
const MAX_CONNECT_BACKOFF_MS = 2_000;
/**
 * Fraction of the cold limit that is used. The rest is left for nodes that this
 * one does not know yet.
 */
const COLD_LIMIT_RATIO = 0.8;
/**
 * The limit is per second; the additional time allows for sends that arrive
 * closer together than they left.
 */
const COLD_WINDOW_MS = 1_100;

export function dropExpired(times: number[], oldest: number): void {
  while (times.length > 0 && times[0] < oldest) times.shift();
}

/**
 * Time until a send to an upstream keeps to its cold limit, milliseconds: 0 if it does
 * now, infinite if only other nodes may send to it while it is cold.
 */
export function timeUntilColdRoom(
  node: EntryNode,
  service: PooledService | undefined,
  state: UpstreamState,
): number {
  const now = node.clock();
  if (!service || service.coldPerSecond === 0 || now >= state.coldUntil)
    return 0;
  const {over, slack} = node.settings.cold;
  const limitPerSecond =
    (service.coldPerSecond * over + slack) * COLD_LIMIT_RATIO;
  const rank = rankMember(state.digest, node, node.members.values());
  const sendLimit = limitColdSends(limitPerSecond, node.peakMemberCount, rank);
  const recent = state.sends.filter(at => at > now - COLD_WINDOW_MS);
  if (recent.length < sendLimit) return 0;
  if (sendLimit === 0) return Infinity;
  const freeAt = recent[recent.length - sendLimit] + COLD_WINDOW_MS;
  return Math.min(freeAt, state.coldUntil) - now;
}

export function isColdLimitReached(
  node: EntryNode,
  service: PooledService | undefined,
  state: UpstreamState,
): boolean {
  return timeUntilColdRoom(node, service, state) > 0;
}

/** Time for which sends are remembered for the cold limit. */
const SEND_HISTORY_MS = 10_000;
const MAX_CACHED_SEGMENT_COUNT = 2_000;

/** Records a send for the limits, the load and the prompt cache. */
export function recordSend(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  model = '',
): void {
  const now = node.clock();
  dropExpired(state.sends, now - SEND_HISTORY_MS);
  state.sends.push(now);
  consumeShare(node, state);
  state.sentSinceReport += 1;
  const keys = promptSegmentKeys(model, exchange.caller.promptSegments);
  // A retry is no sign that a prompt comes again.
  if (exchange.triedUpstreams.size <= 1)
    recordPromptSent(node, `${exchange.service}/${model}`, keys.slice(0, -1));
  for (const key of keys) {
    // Re-insertion keeps the map in order of use, so the oldest are evicted first.
    state.promptSegmentSentAt.delete(key);
    state.promptSegmentSentAt.set(key, now);
  }
  for (const key of state.promptSegmentSentAt.keys()) {
    if (state.promptSegmentSentAt.size <= MAX_CACHED_SEGMENT_COUNT) break;
    state.promptSegmentSentAt.delete(key);
  }
}

/**
 * Starts a backoff after a failed connection to an upstream. An answer resets the
 * length of the next one.
 */
export function recordReachability(
  node: EntryNode,
  state: UpstreamState,
  outcome: 'unsent' | 'refused' | 'lost' | 'answer',
): void {
  if (outcome === 'answer' || outcome === 'refused') state.backoffMs = 0;
  if (outcome !== 'unsent') return;
  state.backoffMs = Math.min(
    MAX_CONNECT_BACKOFF_MS,
    Math.max(MIN_CONNECT_BACKOFF_MS, state.backoffMs * 2),
  );
  state.backoffUntil = node.clock() + state.backoffMs;
}

export function recordFailure(node: EntryNode, state: UpstreamState): void {
  state.failures.push(node.clock());
}
