/** Prompt segments that upstreams cache, by the sends of this node. */
import type {PromptSegment} from '@parsleyarch/platform/headers';
import {expectCommonTokens} from '@parsleyarch/policy/prompt-affinity';
import type {Exchange} from './exchange.js';
import type {EntryNode, UpstreamState} from './node.js';
import {expectSamePrompts} from './placing.js';

/** Time for which an upstream is assumed to cache a prompt segment. */
const PROMPT_CACHE_TTL_MS = 10_000;

/**
 * Cache keys of prompt segments. Each includes the model and all preceding
 * segments, as an upstream caches a segment only together with these.
 */
export function promptSegmentKeys(
  model: string,
  segments: readonly PromptSegment[],
): string[] {
  const keys: string[] = [];
  let key = model;
  for (const {id} of segments) keys.push((key = `${key}/${id}`));
  return keys;
}

/** Tokens of a prompt that an upstream caches, by the sends of this node. */
export function countCachedTokens(
  node: EntryNode,
  state: UpstreamState,
  exchange: Exchange,
  keys: readonly string[],
): number {
  const {promptSegments: segments} = exchange.caller;
  const oldest = node.clock() - PROMPT_CACHE_TTL_MS;
  let cached = 0;
  for (const [index, key] of keys.entries()) {
    if ((state.promptSegmentSentAt.get(key) ?? -Infinity) < oldest) break;
    cached += segments[index].tokens;
  }
  return cached;
}

/** Tokens of a prompt that any engine is likely to cache, by the sends of this node. */
export function countCommonTokens(
  node: EntryNode,
  {caller}: Exchange,
  keys: readonly string[],
  engineCount: number,
): number {
  const shared = keys.slice(0, -1).map((key, index) => ({
    tokens: caller.promptSegments[index].tokens,
    // One request of this node alone may be the only one.
    requestCount: expectSamePrompts(node, key, PROMPT_CACHE_TTL_MS, 1),
  }));
  return expectCommonTokens(shared, engineCount);
}

/** The part of a prompt that other requests share: all segments but the last. */
export function countSharedTokens({caller}: Exchange): number {
  let shared = 0;
  for (const {tokens} of caller.promptSegments.slice(0, -1)) shared += tokens;
  return shared;
}
