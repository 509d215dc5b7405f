/**
 * Chooses the upstream of a request on the entry path, where there are no
 * credits: the one with the lowest cost, which is its estimated work plus
 * penalties for another failure domain and for recent failures. Meant for normal
 * load and short bursts. Failing upstreams are ranked last but never excluded, so
 * that a service is still tried when all its upstreams fail.
 */

/** State of one upstream that could serve a request. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly sameDomain: boolean;
  /** Estimated work that the upstream already has from all nodes. */
  readonly presentWork: number;
  /** Estimated work that the request would add. */
  readonly addedWork: number;
  /** Time that work takes there, relative to the usual time, which is meant if absent. */
  readonly timeFactor?: number;
  /** Failures within a short window. */
  readonly failures: number;
  /** Whether connecting to it failed a short time ago. */
  readonly down: boolean;
  /** Whether this node has used up its send limit for the cold upstream. */
  readonly coldFull: boolean;
}

/** Penalties, in the unit of work.ts. */
export interface CostPenalties {
  readonly otherDomain: number;
  /** For each recent failure. */
  readonly failure: number;
  /** Largest random addition, which keeps nodes from all choosing the same. */
  readonly jitter: number;
}

export interface UpstreamChoice {
  readonly id: string;
  readonly cost: number;
}

/** Exceeds the work of any upstream, so that unreachable ones rank last. */
const DOWN_PENALTY = 1_000;

function costOf(
  candidate: UpstreamCandidate,
  penalties: CostPenalties,
  randomDraw: number,
): number {
  const domainPenalty = candidate.sameDomain ? 0 : penalties.otherDomain;
  const failurePenalty = candidate.failures * penalties.failure;
  const {presentWork, addedWork, timeFactor = 1} = candidate;
  const work = presentWork + addedWork * timeFactor;
  const downPenalty = candidate.down ? DOWN_PENALTY : 0;
  return (
    work +
    domainPenalty +
    failurePenalty +
    downPenalty +
    randomDraw * penalties.jitter
  );
}

/** Returns the cheapest candidate; `undefined` when all are `coldFull`. */
export function chooseCandidate(
  candidates: readonly UpstreamCandidate[],
  penalties: CostPenalties,
  random: () => number,
): UpstreamChoice | undefined {
  let best: UpstreamChoice | undefined;
  for (const candidate of candidates) {
    if (candidate.coldFull) continue;
    const cost = costOf(candidate, penalties, random());
    if (!best || cost < best.cost) best = {id: candidate.id, cost};
  }
  return best;
}

/**
 * Returns the sends that one node may make to a cold upstream in any second. If
 * the limit is smaller than the number of nodes, the nodes with the smallest
 * ranks may make one each. Rotating the nodes instead could let all of them
 * send within the same second.
 */
export function limitColdSends(
  limitPerSecond: number,
  nodeCount: number,
  rank: number,
): number {
  const nodeLimit = Math.floor(limitPerSecond / Math.max(1, nodeCount));
  if (nodeLimit >= 1) return nodeLimit;
  return rank < Math.floor(limitPerSecond) ? 1 : 0;
}
