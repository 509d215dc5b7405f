/** Urgency of the sends of a node. */
import {classOfPriority} from '@parsleyarch/policy/priorities';
import {callerGapMs} from '@parsleyarch/policy/stream-gaps';
import {
  beginSend,
  chooseUrgency,
  endSend,
  type LevelRecords,
} from '@parsleyarch/policy/urgency';
import type {Attempt} from './attempt.js';
import {isStream, priorityOf, type Exchange} from './exchange.js';
import {expectHeaderMs} from './models.js';
import type {EntryNode} from './node.js';
import type {Selection} from './selection.js';

function getRecords(node: EntryNode, service: string): LevelRecords {
  const known = node.urgencyLevels.get(service);
  if (known) return known;
  const records: LevelRecords = new Map();
  node.urgencyLevels.set(service, records);
  return records;
}

/** Class of the priority of a request among those that use its service. */
export function priorityClassOf(node: EntryNode, exchange: Exchange): number {
  const declared = node.routes?.priorities.get(exchange.service);
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
  {addedWork, presentWork}: Selection,
  model?: string,
): number {
  const {route, service} = exchange;
  const now = node.clock();
  const expectMs = (work: number) =>
    expectHeaderMs(node.models, service, model ?? '', work);
  const request = {
    priorityClass: priorityClassOf(node, exchange),
    isSmallest: model === undefined || model === route.models[0],
    untilObjectiveMs: objectiveEndsAt(exchange, now) - now,
    untilDeadlineMs: patienceEndsAt(exchange, now) - now,
    aloneMs: expectMs(addedWork),
    expectedMs: expectMs(presentWork + addedWork),
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
