/**
 * Sends requests in the order in which they get room: first sends, repeats, larger
 * models, resumed streams and requests that other nodes delegate to this one.
 */
import {permitRun} from '@parsleyarch/policy/runs';
import {Admission} from '@parsleyarch/policy/room';
import type {Result} from 'neverthrow';
import type {Attempt} from './attempt.js';
import {capacityWaitMs, type Exchange} from './exchange.js';
import {findRoomMs} from './exclusions.js';
import type {EntryNode} from './node.js';
import {hasTimeBeforeStop} from './retries.js';
import {assessRoom} from './room.js';
import {selectUpstream} from './selection.js';
import {startSend} from './sending.js';
import {patienceEndsAt} from './urgency.js';
import {waitForRoom, type Refusal, type TryOutcome} from './waiting.js';

/** What is sent. */
export interface SendRequest {
  readonly model?: string;
  /** Event after which the upstream resumes. */
  readonly lastEventId?: string;
}

/** The outcome where no upstream may or can accept a request now. */
function waitOrRefuse(
  node: EntryNode,
  exchange: Exchange,
  waitsSince: number,
): TryOutcome<never> {
  const roomMs = findRoomMs(node, exchange);
  const refusal: Refusal = {
    kind: 'no-upstream',
    reason: 'no upstream',
    roomMs,
  };
  const untilAt = waitsSince + capacityWaitMs(exchange);
  const isInTime = roomMs !== undefined && node.clock() + roomMs < untilAt;
  return isInTime
    ? {kind: 'waits', untilAt, refusal}
    : {kind: 'refused', refusal};
}

function refuse(kind: Refusal['kind'], reason: string): TryOutcome<never> {
  return {kind: 'refused', refusal: {kind, reason}};
}

function trySend(
  node: EntryNode,
  exchange: Exchange,
  {model, lastEventId}: SendRequest,
  waitsSince: number,
): TryOutcome<Attempt> {
  const {admission, waitMs} = assessRoom(node, exchange, model);
  const reason = 'no room before the caller leaves';
  const refusal: Refusal = {kind: 'overloaded', reason, roomMs: waitMs};
  if (admission === Admission.refuse) return {kind: 'refused', refusal};
  if (admission === Admission.hold) {
    const untilAt = patienceEndsAt(exchange, node.clock());
    return {kind: 'waits', untilAt, refusal};
  }
  const selection = selectUpstream(node, exchange, model);
  if (!selection) return waitOrRefuse(node, exchange, waitsSince);
  if (!hasTimeBeforeStop(node, exchange))
    return refuse('not-ready', 'stopping');
  const permit = permitRun(exchange.runs);
  if (permit.isErr()) return refuse('no-upstream', permit.error);
  const value = startSend(
    node,
    exchange,
    permit.value,
    selection,
    model,
    lastEventId,
  );
  return {kind: 'sent', value};
}

/** Sends a request once it gets room, or returns why it is not sent. */
export function sendInOrder(
  node: EntryNode,
  exchange: Exchange,
  request: SendRequest,
): Promise<Result<Attempt, Refusal>> {
  return waitForRoom(node, exchange, waitsSince =>
    trySend(node, exchange, request, waitsSince),
  );
}
