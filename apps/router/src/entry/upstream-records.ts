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

export function isColdLimitReached(
  node: EntryNode,
  service: PooledService | undefined,
  state: UpstreamState,
): boolean {
  const now = node.clock();
  if (!service || service.coldPerSecond === 0 || now >= state.coldUntil)
    return false;
  const {over, slack} = node.settings.cold;
  const limitPerSecond =
    (service.coldPerSecond * over + slack) * COLD_LIMIT_RATIO;
  const rank = rankMember(state.digest, node, node.members.values());
  const sendLimit = limitColdSends(limitPerSecond, node.peakMemberCount, rank);
  let recent = 0;
  for (const at of state.sends) {
    if (at > now - COLD_WINDOW_MS) recent += 1;
  }
  return recent >= sendLimit;
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
