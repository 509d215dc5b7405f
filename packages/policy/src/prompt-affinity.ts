/**
 * Which engines are likely to have the shared part of a prompt cached. Requests
 * that share a prompt arrive at different nodes, so a node's own sends tell
 * little. All nodes rank the engines alike for a shared part and expect it at the
 * first ones. This lowers only the work that is expected there: an engine with a
 * longer queue is not chosen. It serves load at which engines are busy with
 * prefill; at low load any engine is fast enough.
 */
import {listFirstMembers, type RendezvousMember} from './rendezvous.js';

/** Probability that the shared part is cached, by the rank of the engine. */
const CACHED_CHANCES = [0.8, 0.3];

/** Probability that engines have a shared part cached; 0 for those not listed. */
export function expectCached<M extends RendezvousMember>(
  sharedPartDigest: number,
  engines: Iterable<M>,
): ReadonlyMap<M, number> {
  const first = listFirstMembers(
    sharedPartDigest,
    engines,
    CACHED_CHANCES.length,
  );
  return new Map(first.map((engine, rank) => [engine, CACHED_CHANCES[rank]]));
}

/**
 * Tokens of a prompt that any engine is likely to have cached, as other prompts begin with
 * the same segments. An engine caches a segment only together with all before it.
 */
export function expectCommonTokens(
  segments: readonly {
    readonly tokens: number;
    /** Requests whose prompts begin like this, at all engines, within the time of a cache. */
    readonly requestCount: number;
  }[],
  engineCount: number,
): number {
  let common = 0;
  let chance = 1;
  for (const {tokens, requestCount} of segments) {
    const isCachedChance = 1 - Math.exp(-requestCount / engineCount);
    chance = Math.min(chance, isCachedChance);
    common += tokens * chance;
  }
  return common;
}
