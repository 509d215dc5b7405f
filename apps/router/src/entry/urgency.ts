/** Urgency of the sends of a node. */
import {
  classOfPriority,
  countClasses,
  type Competition,
} from '@parsleyarch/policy/priorities';
import {callerGapMs} from '@parsleyarch/policy/stream-gaps';
import {
  beginSend,
  chooseUrgency,
  endSend,
  type LevelRecords,
  type Rank,
} from '@parsleyarch/policy/urgency';
import type {Attempt} from './attempt.js';
import {isStream, priorityOf, type Exchange} from './exchange.js';
import {expectHeaderMs} from './models.js';
import type {EntryNode} from './node.js';
import type {Selection} from './selection.js';

const SINGLE_RANK: Rank = {rank: 0, count: 1};

function getRecords(node: EntryNode, service: string): LevelRecords {
  const known = node.urgencyLevels.get(service);
  if (known) return known;
  const records: LevelRecords = new Map();
  node.urgencyLevels.set(service, records);
  return records;
}

function rankOf(priority: number, declared: readonly number[]): Rank {
  return {
    rank: classOfPriority(priority, declared),
    count: countClasses(declared),
  };
}

function competitionOf(
  {routes}: EntryNode,
  {service}: Exchange,
): Competition | undefined {
  return routes?.competitions.get(service);
}

/** Class of the priority of a request among those that use its service. */
export function priorityClassOf(node: EntryNode, exchange: Exchange): number {
  const declared = competitionOf(node, exchange)?.priorities;
  return classOfPriority(priorityOf(exchange), declared);
}

/** When the next bytes of the answer are late, monotonic milliseconds. */
export function objectiveEndsAt(exchange: Exchange, now: number): number {
  const {route, startedAt, response} = exchange;
  return response.headersSent
    ? now + route.pauseObjectiveMs
    : startedAt + route.objectiveMs;
}

/** When the caller leaves if it gets nothing further, monotonic milliseconds. */
export function patienceEndsAt(exchange: Exchange, now: number): number {
  const {route, startedAt, deadlineAt, response} = exchange;
  if (!isStream(exchange)) return deadlineAt;
  const waitsSince = response.headersSent ? now : startedAt;
  return Math.min(deadlineAt, waitsSince + callerGapMs(route));
}

/** Urgency level of a send that begins now; 0 is the most urgent. */
export function assignUrgency(
  node: EntryNode,
  exchange: Exchange,
  {addedWork}: Selection,
  model?: string,
): number {
  const {route, service, customer} = exchange;
  const now = node.clock();
  const competition = competitionOf(node, exchange);
  const isOverridden = customer?.priority !== undefined;
  const request = {
    priorityClass: rankOf(priorityOf(exchange), competition?.priorities ?? []),
    routeClass: isOverridden
      ? rankOf(route.priority, competition?.routePriorities ?? [])
      : SINGLE_RANK,
    hasBegun: exchange.response.headersSent,
    isSmallest: model === undefined || model === route.models[0],
    untilObjectiveMs: objectiveEndsAt(exchange, now) - now,
    longestObjectiveMs: competition?.longestObjectiveMs || route.objectiveMs,
    untilDeadlineMs: patienceEndsAt(exchange, now) - now,
    aloneMs: expectHeaderMs(node.models, service, model ?? '', addedWork),
  };
  const records = getRecords(node, service);
  return chooseUrgency(request, records, now, node.random());
}

/** Records that a send has begun. */
export function recordSendBegin(
  node: EntryNode,
  {service}: Exchange,
  {urgency, startedAt}: Attempt,
): void {
  beginSend(getRecords(node, service), urgency, startedAt);
}

/** Records that a send was answered, or has ended without an answer. */
export function recordSendEnd(
  node: EntryNode,
  {service}: Exchange,
  {urgency, startedAt}: Attempt,
): void {
  endSend(getRecords(node, service), urgency, startedAt, node.clock());
}
