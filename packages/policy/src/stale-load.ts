/**
 * Chooses the upstream of a request by load that is some hundred milliseconds old and
 * that all nodes see alike. Answers normal load and bursts that reach upstreams through
 * many nodes. Compared are at most: an upstream drawn by water-filling over the work that
 * all nodes are expected to send until the next report; those that are likely to have
 * the prompt cached, as far as the requests with the same prompt fit there; and those
 * that have just told this node in an answer that no request waits, which only this node
 * knows. Pure functions only.
 */
import type {CostPenalties} from './upstream-choice.js';
import {computeLevel, pickQueue, type Queue} from './water-filling.js';

/** Time for which an upstream is expected to have no queue after it said so. */
export const IDLE_MS = 200;
/** Part of the mean queue that is expected before a request at an average upstream. */
const REMAINING_QUEUE_RATIO = 0.5;
/** Work that is expected at least, in work units. */
const MIN_EXPECTED_WORK = 1;

/** An upstream with what is known of its queue; work is in the unit of work.ts. */
export interface QueuedUpstream {
  readonly sameDomain: boolean;
  /** Work that it already has from all nodes, in the time that it takes there. */
  readonly presentWork: number;
  /** Part of the present work that is done before another request starts. */
  readonly queuedWork: number;
  /** Work units done in the time in which an undisturbed upstream does one. */
  readonly speed: number;
  /** Whether this node has used up its send limit for the cold upstream. */
  readonly coldFull: boolean;
  /** Whether nodes expect the shared part of the prompt there. */
  readonly isExpectedCached: boolean;
  /** Time since it told this node that none waits; absent if it is not known. */
  readonly idleSinceMs?: number;
}

/** What a request means to an upstream. */
export interface RequestWork {
  /** Work that it would add. */
  readonly addedWork: number;
  /** The same if nothing of its prompt were cached. */
  readonly uncachedWork: number;
  /** Failures of the upstream within a short window. */
  readonly failures: number;
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
export interface LevelChoice<U extends QueuedUpstream> {
  readonly upstream: U;
  readonly work: RequestWork;
  readonly cost: number;
  /** Work that the request is expected to find there, in work units. */
  readonly workAhead: number;
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

function queueOf({presentWork, speed}: QueuedUpstream): Queue {
  return {delay: presentWork, speed};
}

function describeSide(
  upstreams: readonly QueuedUpstream[],
  work: number,
): Side {
  let speed = 0;
  let queued = 0;
  let present = 0;
  for (const upstream of upstreams) {
    speed += upstream.speed;
    queued += upstream.queuedWork * upstream.speed;
    present += upstream.presentWork * upstream.speed;
  }
  // A node that is new has sent nothing yet; about as much is sent as is there now.
  const expected = Math.max(work, present, MIN_EXPECTED_WORK);
  return {
    work: expected,
    level: computeLevel(upstreams.map(queueOf), expected),
    meanQueue: speed > 0 ? queued / speed : 0,
  };
}

/** Work that a request is expected to find at an upstream. */
function expectWorkAhead(upstream: QueuedUpstream, side: Side): number {
  const {queuedWork, presentWork, idleSinceMs} = upstream;
  const streamingWork = presentWork - queuedWork;
  const expectedQueue = REMAINING_QUEUE_RATIO * side.meanQueue;
  if (idleSinceMs !== undefined)
    return streamingWork + expectedQueue * (idleSinceMs / IDLE_MS);
  return streamingWork + expectedQueue + Math.max(0, presentWork - side.level);
}

/** Cost of a request at an upstream, in work units. */
function costOf(
  {sameDomain, speed}: QueuedUpstream,
  workAhead: number,
  {addedWork, failures}: RequestWork,
  penalties: CostPenalties,
): number {
  const domainPenalty = sameDomain ? 0 : penalties.otherDomain;
  const failurePenalty = failures * penalties.failure;
  return workAhead + addedWork / speed + domainPenalty + failurePenalty;
}

/** Work that a request is expected to find where it is sent, by the loads of upstreams. */
export function expectMeanWorkAhead(
  loads: readonly {readonly queued: number; readonly all: number}[],
): number {
  if (loads.length === 0) return 0;
  let work = 0;
  for (const {queued, all} of loads)
    work += all - queued + REMAINING_QUEUE_RATIO * queued;
  return work / loads.length;
}

/** Whether the requests with the same shared part fit where it is cached. */
function hasRoomForPrompt(
  cached: readonly RequestWork[],
  {samePromptCount}: Expectation,
  meanQueue: number,
  random: number,
): boolean {
  let savedWork = 0;
  let leastWork = Infinity;
  for (const {addedWork, uncachedWork} of cached) {
    savedWork += Math.max(0, uncachedWork - addedWork);
    leastWork = Math.min(leastWork, addedWork);
  }
  const room = savedWork + REMAINING_QUEUE_RATIO * meanQueue;
  return random * samePromptCount * leastWork <= room;
}

/**
 * Draws an upstream. The own failure domain is filled first, and another one as far as
 * its level with the penalty for the distance is lower. A second draw counts if its queue
 * is clearly shorter: an upstream may be slower than it says, and then lags behind.
 */
function drawByLevel<U extends QueuedUpstream>(
  upstreams: readonly U[],
  own: Side,
  other: Side,
  penalties: CostPenalties,
  {position, random}: Draw,
): U | undefined {
  const hasOwn = upstreams.some(({sameDomain}) => sameDomain);
  const queues = upstreams.map(({presentWork, speed, sameDomain}) => {
    if (sameDomain || !hasOwn) return {delay: presentWork, speed};
    const delay = Math.max(presentWork, other.level) + penalties.otherDomain;
    return {delay, speed};
  });
  const side = hasOwn ? own : other;
  const level = computeLevel(queues, side.work);
  const first = pickQueue(queues, level, position);
  const second = pickQueue(queues, level, (position + random) % 1);
  if (first === undefined || second === undefined) return undefined;
  const delayAt = ({presentWork, sameDomain}: U) =>
    presentWork + (sameDomain ? 0 : penalties.otherDomain);
  const lag = delayAt(upstreams[first]) - delayAt(upstreams[second]);
  return upstreams[lag > side.meanQueue ? second : first];
}

/** Returns the cheapest of the compared upstreams; `undefined` when all are `coldFull`. */
export function chooseByLevel<U extends QueuedUpstream>(
  all: readonly U[],
  /** Called for the upstreams that are compared only. */
  workAt: (upstream: U) => RequestWork,
  penalties: CostPenalties,
  expectation: Expectation,
  draw: Draw,
): LevelChoice<U> | undefined {
  const upstreams = all.filter(({coldFull}) => !coldFull);
  const own = describeSide(
    upstreams.filter(({sameDomain}) => sameDomain),
    expectation.ownDomainWork,
  );
  const other = describeSide(
    upstreams.filter(({sameDomain}) => !sameDomain),
    expectation.otherDomainWork,
  );
  let best: LevelChoice<U> | undefined;
  const compare = (upstream: U, work: RequestWork, reason: ChoiceReason) => {
    const side = upstream.sameDomain ? own : other;
    const workAhead = expectWorkAhead(upstream, side);
    const cost = costOf(upstream, workAhead, work, penalties);
    if (!best || cost < best.cost)
      best = {upstream, work, workAhead, cost, reason, level: side.level};
  };
  const drawn = drawByLevel(upstreams, own, other, penalties, draw);
  if (drawn) compare(drawn, workAt(drawn), ChoiceReason.level);
  const cached = upstreams.filter(({isExpectedCached}) => isExpectedCached);
  const works = cached.map(workAt);
  const meanQueue = Math.max(own.meanQueue, other.meanQueue);
  if (hasRoomForPrompt(works, expectation, meanQueue, draw.random)) {
    for (const [index, upstream] of cached.entries())
      compare(upstream, works[index], ChoiceReason.cached);
  }
  for (const upstream of upstreams) {
    if (upstream.idleSinceMs !== undefined)
      compare(upstream, workAt(upstream), ChoiceReason.idle);
  }
  return best;
}
