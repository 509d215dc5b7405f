/**
 * Urgency of a send at an engine that admits by urgency. Decides who waits when the
 * engines have more to read than they can in time: a burst of one kind of request,
 * or less capacity than usual.
 *
 * Sends that can be in time go first, by class of priority. Within a class they go by the
 * priority of the route, where those of customers come before it, and by the time left;
 * answers that have begun precede all, and sends for the smallest model others like them.
 * Sends that can no longer be in
 * time follow. An engine keeps the urgency of a send while it waits, so ageing takes place
 * before the send: of a level at which sends have lately taken too long for the time that
 * is left to the deadline, a part is sent as the most urgent.
 */

/** Levels of urgency; 0 is the most urgent. */
export const URGENCY_LEVEL_COUNT = 10;
/** First of the levels for sends that can no longer be in time. */
const FIRST_LATE_LEVEL = 8;
/** Times by which the time left may be halved, from the longest objective, to count. */
const MAX_HALVING_COUNT = 2;
/** Halvings that count for the smallest model, whose sends take little time. */
const SMALLEST_MODEL_HALVINGS = 0.5;
/** Fraction of the time without a queue below which a send cannot be in time. */
const HOPELESS_TIME_RATIO = 0.25;
/** Part of the time to the deadline that sends of a level may take at most. */
const MAX_DEADLINE_RATIO = 0.5;
/** Share of the sends of a level that go first while the level takes too long. */
const AGED_SHARE = 0.5;
/** Time in which the recorded time of a level loses half of its value. */
const HALF_LIFE_MS = 2_000;
/** Weight of the newest send in the time that sends of a level take. */
const SMOOTHING_RATIO = 0.3;

/** A rank among some; 0 is the most urgent. */
export interface Rank {
  readonly rank: number;
  readonly count: number;
}

/** A send whose urgency is to be chosen; times in milliseconds. */
export interface UrgencyRequest {
  /** Class of priority, among those of the requests for the same service. */
  readonly priorityClass: Rank;
  /** Class of the route's priority, where the customer's priority overrides it. */
  readonly routeClass: Rank;
  /** Whether it continues an answer whose first events the caller has. */
  readonly hasBegun: boolean;
  /** Whether it is for the smallest of the models that the router may choose. */
  readonly isSmallest: boolean;
  /** Time left to the latency objective; negative once it has passed. */
  readonly untilObjectiveMs: number;
  /** Longest objective of the requests for the same service. */
  readonly longestObjectiveMs: number;
  readonly untilDeadlineMs: number;
  /** Expected time to the answer if nothing else waited at the engine. */
  readonly aloneMs: number;
}

/** Sends of one level. */
interface LevelRecord {
  /** Time that they have lately taken, milliseconds, and when this was known. */
  tookMs: number;
  at: number;
  /** When the sends without an answer began, oldest first. */
  readonly waiting: number[];
}

/** Memory of the sends to one service, by level. */
export type LevelRecords = Map<number, LevelRecord>;

/** Records a send without an answer yet. */
export function beginSend(
  records: LevelRecords,
  level: number,
  now: number,
): void {
  const record = records.get(level) ?? {tookMs: 0, at: now, waiting: []};
  record.waiting.push(now);
  records.set(level, record);
}

/** Records that a send was answered, or has ended without an answer. */
export function endSend(
  records: LevelRecords,
  level: number,
  beganAt: number,
  now: number,
): void {
  const record = records.get(level);
  const position = record?.waiting.indexOf(beganAt) ?? -1;
  if (!record || position < 0) return;
  record.waiting.splice(position, 1);
  const known = fadedTime(record, now);
  const tookMs = now - beganAt;
  record.tookMs = known + (tookMs - known) * SMOOTHING_RATIO;
  record.at = now;
}

function fadedTime({tookMs, at}: LevelRecord, now: number): number {
  return tookMs * 0.5 ** ((now - at) / HALF_LIFE_MS);
}

/**
 * Time that a send of a level is to be expected to take, by those that were answered
 * and by those that still wait. A single one may wait at an upstream that hangs.
 */
function levelTime(records: LevelRecords, level: number, now: number): number {
  const record = records.get(level);
  if (!record) return 0;
  const secondOldest = record.waiting[1] ?? now;
  return Math.max(fadedTime(record, now), now - secondOldest);
}

/** Position among the sends of a class of priority, from 0 up to 1 exclusive. */
function positionInClass(request: UrgencyRequest): number {
  if (request.hasBegun) return 0;
  const {untilObjectiveMs, longestObjectiveMs, routeClass} = request;
  const leftRatio = untilObjectiveMs / Math.max(1, longestObjectiveMs);
  const halvings = Math.floor(
    -Math.log2(Math.max(Number.MIN_VALUE, leftRatio)),
  );
  const counted = Math.min(MAX_HALVING_COUNT, Math.max(0, halvings));
  const ahead = counted + (request.isSmallest ? SMALLEST_MODEL_HALVINGS : 0);
  const score = Math.max(0, routeClass.rank + MAX_HALVING_COUNT - ahead);
  return score / (routeClass.count + MAX_HALVING_COUNT);
}

/** Level of a send by its priority and its objective alone. */
function levelOf(request: UrgencyRequest): number {
  const {untilObjectiveMs, aloneMs, priorityClass} = request;
  const {rank, count} = priorityClass;
  if (untilObjectiveMs < aloneMs * HOPELESS_TIME_RATIO)
    return FIRST_LATE_LEVEL + (rank * 2 < count ? 0 : 1);
  const levelsPerClass = Math.floor(FIRST_LATE_LEVEL / count);
  return Math.floor((rank + positionInClass(request)) * levelsPerClass);
}

/**
 * Chooses the level of urgency of a send; `draw` is in [0, 1). Of the sends of a level
 * that takes too long, a part goes first, as the others may wait until their deadline.
 */
export function chooseUrgency(
  request: UrgencyRequest,
  records: LevelRecords,
  now: number,
  draw: number,
): number {
  const level = levelOf(request);
  const maxMs = request.untilDeadlineMs * MAX_DEADLINE_RATIO;
  const isSlow = levelTime(records, level, now) > maxMs;
  return isSlow && draw < AGED_SHARE ? 0 : level;
}
