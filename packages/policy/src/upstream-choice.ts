/**
 * Which upstream gets a request: the one with the least estimated work, where
 * distance and recent failures count as work. Answers the load of a normal day
 * and short bursts; upstreams that fail are ranked last, never hidden, so that
 * a service whose upstreams all fail is still tried.
 */

/** What a node knows of one upstream that could serve a request. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly sameDomain: boolean;
  /** Work that is there already, all nodes together. */
  readonly present: number;
  /** Work that the request would make there. */
  readonly added: number;
  /** Recent failures, each counted for a short time. */
  readonly failures: number;
  /** Whether no connection to it came about just now. */
  readonly down: boolean;
  /** Whether its cold limit has no room for this node now. */
  readonly coldFull: boolean;
}

/** What disadvantages count for, as work. */
export interface ChoiceWeights {
  readonly otherDomain: number;
  readonly failure: number;
  /** Largest random addition, which keeps nodes from choosing alike. */
  readonly jitter: number;
}

/** A choice with what decided it. */
export interface UpstreamChoice {
  readonly id: string;
  readonly cost: number;
}

/** More work than any upstream ever has. */
const UNREACHABLE_COST = 1_000;

function costOf(
  candidate: UpstreamCandidate,
  weights: ChoiceWeights,
  draw: number,
): number {
  const distance = candidate.sameDomain ? 0 : weights.otherDomain;
  const failing = candidate.failures * weights.failure;
  const work = candidate.present + candidate.added;
  const unreachable = candidate.down ? UNREACHABLE_COST : 0;
  return work + distance + failing + unreachable + draw * weights.jitter;
}

/** Chooses among candidates; `undefined` when none has room. */
export function chooseCandidate(
  candidates: readonly UpstreamCandidate[],
  weights: ChoiceWeights,
  random: () => number,
): UpstreamChoice | undefined {
  let best: UpstreamChoice | undefined;
  for (const candidate of candidates) {
    if (candidate.coldFull) continue;
    const cost = costOf(candidate, weights, random());
    if (!best || cost < best.cost) best = {id: candidate.id, cost};
  }
  return best;
}

/**
 * Sends that one of several nodes may make to a cold upstream in any second.
 * Where the bound is smaller than the number of nodes, the first ranked ones
 * make one each: nodes that took turns could all send in the same second.
 */
export function coldAllowance(
  boundPerSecond: number,
  nodes: number,
  rank: number,
): number {
  const share = Math.floor(boundPerSecond / Math.max(1, nodes));
  if (share >= 1) return share;
  return rank < Math.floor(boundPerSecond) ? 1 : 0;
}
