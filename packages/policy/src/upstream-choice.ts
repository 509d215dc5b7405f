/**
 * Which upstream gets a request: the one with the least estimated work, where
 * distance and the loss of cached prompt parts count as work. Answers the load
 * of a normal day; upstreams that fail are ranked last, never hidden, so that
 * a service whose upstreams all fail is still tried.
 */

/** What a node knows of one upstream that could serve a request. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly sameDomain: boolean;
  /** Requests estimated to run or wait there, all nodes together. */
  readonly load: number;
  readonly slots: number;
  /** Recent failures, each counted for a short time. */
  readonly failures: number;
  /** Whether its cold limit has no room for this node now. */
  readonly coldFull: boolean;
  /** Prompt tokens that it has to read, as far as is known. */
  readonly unreadTokens: number;
}

/** How much work each disadvantage counts for, in running requests. */
export interface ChoiceWeights {
  readonly otherDomain: number;
  /** For each thousand prompt tokens to read. */
  readonly reading: number;
  readonly failure: number;
}

/** A choice with what decided it. */
export interface UpstreamChoice {
  readonly id: string;
  readonly cost: number;
}

function costOf(
  candidate: UpstreamCandidate,
  weights: ChoiceWeights,
  jitter: number,
): number {
  const distance = candidate.sameDomain ? 0 : weights.otherDomain;
  const reading = (candidate.unreadTokens / 1_000) * weights.reading;
  // Work grows faster than in proportion as the slots fill up.
  const fullness = candidate.load / candidate.slots;
  const crowding = fullness > 0.8 ? (fullness - 0.8) * candidate.slots * 4 : 0;
  return (
    candidate.load +
    crowding +
    distance +
    reading +
    candidate.failures * weights.failure +
    jitter
  );
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

/** Sends in one second that a node may make to a cold upstream. */
export function coldAllowance(
  boundPerSecond: number,
  nodes: number,
): {sends: number; windowMs: number} {
  const share = boundPerSecond / Math.max(1, nodes);
  if (share >= 1) return {sends: Math.floor(share), windowMs: 1_000};
  return {sends: 1, windowMs: Math.ceil(1_000 / share)};
}
