/**
 * Urgency of a send at an engine that admits by urgency. Decides who waits when the
 * engines have more to read than they can in time: a burst of one kind of request,
 * or less capacity than usual.
 *
 * Sends that can be in time go first, by class of priority; within a class, those for
 * the smallest model and those with little time left go first. Sends that can no
 * longer be in time follow. An engine keeps the urgency of a send while it waits, so
 * ageing takes place before the send: of a level at which sends have lately taken too
 * long for the time that is left to the deadline, a part is sent as the most urgent.
 */
import {PRIORITY_CLASS_COUNT} from './priorities.js';

/** Levels of urgency; 0 is the most urgent. */
export const URGENCY_LEVEL_COUNT = 10;
/** Levels of each class of priority for sends that can be in time. */
const LEVELS_PER_CLASS = 2;
/** First of the levels for sends that can no longer be in time. */
const FIRST_LATE_LEVEL = PRIORITY_CLASS_COUNT * LEVELS_PER_CLASS;
/** Multiple of the expected time below which the time left is short. */
const SHORT_TIME_RATIO = 2;
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

/** A send whose urgency is to be chosen; times in milliseconds. */
export interface UrgencyRequest {
  /** Class of priority; 0 is the most urgent. */
  readonly priorityClass: number;
  /** Whether it is for the smallest of the models that the router may choose. */
  readonly isSmallest: boolean;
  /** Time left to the latency objective; negative once it has passed. */
  readonly untilObjectiveMs: number;
  readonly untilDeadlineMs: number;
  /** Expected time to the answer if nothing else waited at the engine. */
  readonly aloneMs: number;
  /** Expected time to the answer behind the work that is present. */
  readonly expectedMs: number;
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

/** Level of a send by its priority and its objective alone. */
function levelOf(request: UrgencyRequest): number {
  const {untilObjectiveMs, aloneMs, expectedMs, isSmallest} = request;
  const priorityClass = Math.min(
    PRIORITY_CLASS_COUNT - 1,
    Math.max(0, Math.floor(request.priorityClass)),
  );
  if (untilObjectiveMs < aloneMs * HOPELESS_TIME_RATIO)
    return FIRST_LATE_LEVEL + Math.floor(priorityClass / 2);
  const goesFirst =
    isSmallest || untilObjectiveMs < expectedMs * SHORT_TIME_RATIO;
  return priorityClass * LEVELS_PER_CLASS + (goesFirst ? 0 : 1);
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
