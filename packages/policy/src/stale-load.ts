/**
 * Chooses the upstream of a request by load that is some hundred milliseconds old and
 * that all nodes see alike. Answers normal load and bursts that reach upstreams through
 * many nodes. Compared are at most: an upstream drawn by water-filling over the work that
 * all nodes are expected to send until the next report; those that are likely to have
 * the prompt cached, as far as the requests with the same prompt fit there; and those
 * that have just told this node in an answer that no request waits, which only this node
 * knows. Pure functions only.
 */
import type {CostPenalties, UpstreamCandidate} from './upstream-choice.js';
import {computeLevel, pickQueue, type Queue} from './water-filling.js';

/** Time for which an upstream is expected to have no queue after it said so. */
export const IDLE_MS = 200;
/** Part of the mean queue that is expected before a request at an average upstream. */
const REMAINING_QUEUE_RATIO = 0.5;
/** Work that is expected at least, in work units. */
const MIN_EXPECTED_WORK = 1;

/** An upstream with what is known of its queue. */
export interface QueuedCandidate extends UpstreamCandidate {
  /** Part of the present work that is done before the request starts. */
  readonly queuedWork: number;
  /** Work units done in the time in which an undisturbed upstream does one. */
  readonly speed: number;
  /** Work that the request would add if nothing of its prompt were cached. */
  readonly uncachedWork: number;
  /** Whether nodes expect the shared part of the prompt there. */
  readonly isExpectedCached: boolean;
  /** Time since it told this node that none waits; absent if it is not known. */
  readonly idleSinceMs?: number;
}

/** What is expected of other requests. */
export interface Expectation {
  /** Work that nodes of the own failure domain send until the next report. */
  readonly ownDomainWork: number;
  /** The same for the other failure domains. */
  readonly otherDomainWork: number;
  /** Requests with the same shared part that all nodes send in this time. */
  readonly samePromptCount: number;
}

/** Where among the upstreams this request draws; both in [0, 1). */
export interface Draw {
  readonly position: number;
  readonly random: number;
}

/** Which of the ways led to the upstream. */
export const ChoiceReason = {
  level: 'level',
  cached: 'cached',
  idle: 'idle',
} as const;
export type ChoiceReason = (typeof ChoiceReason)[keyof typeof ChoiceReason];

/** The chosen upstream. */
export interface LevelChoice<C extends QueuedCandidate> {
  readonly candidate: C;
  readonly cost: number;
  readonly reason: ChoiceReason;
  /** Level to which the upstreams of the own failure domain are filled. */
  readonly level: number;
}

/** The upstreams of the own failure domain, or all others. */
interface Side {
  /** Work that is expected to be sent there until the next report. */
  readonly work: number;
  /** Level to which that fills the upstreams. */
  readonly level: number;
  readonly meanQueue: number;
}

function queueOf({presentWork, speed}: QueuedCandidate): Queue {
  return {delay: presentWork, speed};
}

function describeSide(
  candidates: readonly QueuedCandidate[],
  work: number,
): Side {
  let speed = 0;
  let queued = 0;
  let present = 0;
  for (const candidate of candidates) {
    speed += candidate.speed;
    queued += candidate.queuedWork * candidate.speed;
    present += candidate.presentWork * candidate.speed;
  }
  // A node that is new has sent nothing yet; about as much is sent as is there now.
  const expected = Math.max(work, present, MIN_EXPECTED_WORK);
  return {
    work: expected,
    level: computeLevel(candidates.map(queueOf), expected),
    meanQueue: speed > 0 ? queued / speed : 0,
  };
}

/** Cost of a request at an upstream, in work units. */
function costOf(
  candidate: QueuedCandidate,
  side: Side,
  penalties: CostPenalties,
): number {
  const {queuedWork, presentWork, idleSinceMs, addedWork, speed} = candidate;
  const streamingWork = presentWork - queuedWork;
  const expectedQueue = REMAINING_QUEUE_RATIO * side.meanQueue;
  const wait =
    idleSinceMs === undefined
      ? expectedQueue + Math.max(0, presentWork - side.level)
      : expectedQueue * (idleSinceMs / IDLE_MS);
  const domainPenalty = candidate.sameDomain ? 0 : penalties.otherDomain;
  const failurePenalty = candidate.failures * penalties.failure;
  return (
    wait + streamingWork + addedWork / speed + domainPenalty + failurePenalty
  );
}

/** Whether the requests with the same shared part fit where it is cached. */
function hasRoomForPrompt(
  cached: readonly QueuedCandidate[],
  {samePromptCount}: Expectation,
  meanQueue: number,
  random: number,
): boolean {
  let savedWork = 0;
  let addedWork = Infinity;
  for (const candidate of cached) {
    savedWork += Math.max(0, candidate.uncachedWork - candidate.addedWork);
    addedWork = Math.min(addedWork, candidate.addedWork);
  }
  const room = savedWork + REMAINING_QUEUE_RATIO * meanQueue;
  return random * samePromptCount * addedWork <= room;
}

/**
 * Draws an upstream. The own failure domain is filled first, and another one as far as
 * its level with the penalty for the distance is lower.
 */
function drawByLevel<C extends QueuedCandidate>(
  candidates: readonly C[],
  own: Side,
  other: Side,
  penalties: CostPenalties,
  position: number,
): C | undefined {
  const hasOwn = candidates.some(({sameDomain}) => sameDomain);
  const queues = candidates.map(({presentWork, speed, sameDomain}) => {
    if (sameDomain || !hasOwn) return {delay: presentWork, speed};
    const delay = Math.max(presentWork, other.level) + penalties.otherDomain;
    return {delay, speed};
  });
  const level = computeLevel(queues, hasOwn ? own.work : other.work);
  const index = pickQueue(queues, level, position);
  return index === undefined ? undefined : candidates[index];
}

/** The upstreams to compare, and why. */
function listCompared<C extends QueuedCandidate>(
  candidates: readonly C[],
  drawn: C | undefined,
  fitsPrompt: boolean,
): Map<C, ChoiceReason> {
  const compared = new Map<C, ChoiceReason>();
  if (drawn) compared.set(drawn, ChoiceReason.level);
  for (const candidate of candidates) {
    if (candidate.idleSinceMs !== undefined)
      compared.set(candidate, ChoiceReason.idle);
    if (fitsPrompt && candidate.isExpectedCached)
      compared.set(candidate, ChoiceReason.cached);
  }
  return compared;
}

/** Returns the cheapest of the compared upstreams; `undefined` when all are `coldFull`. */
export function chooseByLevel<C extends QueuedCandidate>(
  all: readonly C[],
  penalties: CostPenalties,
  expectation: Expectation,
  {position, random}: Draw,
): LevelChoice<C> | undefined {
  const candidates = all.filter(({coldFull}) => !coldFull);
  const isOwn = ({sameDomain}: C) => sameDomain;
  const own = describeSide(candidates.filter(isOwn), expectation.ownDomainWork);
  const other = describeSide(
    candidates.filter(candidate => !isOwn(candidate)),
    expectation.otherDomainWork,
  );
  const drawn = drawByLevel(candidates, own, other, penalties, position);
  const cached = candidates.filter(({isExpectedCached}) => isExpectedCached);
  const fitsPrompt = hasRoomForPrompt(
    cached,
    expectation,
    Math.max(own.meanQueue, other.meanQueue),
    random,
  );
  let best: LevelChoice<C> | undefined;
  for (const [candidate, reason] of listCompared(
    candidates,
    drawn,
    fitsPrompt,
  )) {
    const side = candidate.sameDomain ? own : other;
    const cost = costOf(candidate, side, penalties);
    if (!best || cost < best.cost)
      best = {candidate, cost, reason, level: side.level};
  }
  return best;
}
