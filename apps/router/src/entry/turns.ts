/**
 * Gives requests their turns while the event loop is behind. A close that arrived before
 * its request was read is known only two iterations of the loop later; without turns the
 * request would have been sent by then.
 */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {
  EARLY_RETRY_AFTER_MS,
  isBetterRefused,
} from '@parsleyarch/policy/early-refusal';
import {
  createLoopLag,
  isBehind,
  lagAt,
  type LoopLag,
} from '@parsleyarch/policy/loop-lag';
import {
  countAhead,
  createTurnQueue,
  enqueue,
  takeNext,
  type TurnQueue,
} from '@parsleyarch/policy/processor-turns';
import {priorityOf, type Exchange} from './exchange.js';
import type {EntryNode} from './node.js';

/** A request that waits, and what begins it. */
interface Turn {
  readonly exchange: Exchange;
  readonly begin: () => void;
}

/** Lag of the event loop, and the requests that wait for it. */
export interface Turns {
  readonly lag: LoopLag;
  readonly queue: TurnQueue<Turn>;
}

export function createTurns(now: number): Turns {
  return {lag: createLoopLag(now), queue: createTurnQueue()};
}

/** Marks the current iteration of the event loop as one that reads requests. */
function markIteration({lag}: Turns, now: number): void {
  if (lag.iterationStartedAt !== undefined) return;
  lag.iterationStartedAt = now;
  setImmediate(() => (lag.iterationStartedAt = undefined));
}

function runIteration(node: EntryNode): void {
  const {queue} = node.turns;
  const hasEnded = ({exchange}: Turn) => exchange.ended;
  for (const {begin} of takeNext(queue, node.clock(), hasEnded)) begin();
  if (queue.waiting.length > 0) setImmediate(() => runIteration(node));
}

/** The refusal of a request that another node serves sooner; `undefined` if none does. */
function findRefusal(
  node: EntryNode,
  exchange: Exchange,
  now: number,
): Failure | undefined {
  const {lag, queue} = node.turns;
  const isBetter = isBetterRefused({
    aheadCount: countAhead(queue, priorityOf(exchange)),
    turnMs: queue.turnMs,
    waitedMs: lagAt(lag, now),
    objectiveMs: exchange.route.objectiveMs,
    leftMs: exchange.deadlineAt - now,
    hasRoomElsewhere: node.pressure.hasRoomElsewhere,
  });
  if (!isBetter) return undefined;
  node.metrics.earlyRefusals.inc();
  const retryAfterMs = EARLY_RETRY_AFTER_MS;
  return failure('overloaded', 'the node is behind', {retryAfterMs});
}

/**
 * Resolves when a request may begin: at once unless the event loop is behind. Resolves
 * with the failure if it is to be refused.
 */
export async function takeTurn(
  node: EntryNode,
  exchange: Exchange,
): Promise<Failure | undefined> {
  const {lag, queue} = node.turns;
  const now = node.clock();
  markIteration(node.turns, now);
  const isFirst = queue.waiting.length === 0;
  if (isFirst && !isBehind(lag, now)) return undefined;
  const refusal = findRefusal(node, exchange, now);
  if (refusal) return refusal;
  await new Promise<void>(begin => {
    enqueue(queue, {exchange, begin}, priorityOf(exchange));
    if (isFirst) setImmediate(() => runIteration(node));
  });
  return undefined;
}

/**
 * Calls back once the events of the current iteration are handled, if the event loop is
 * behind, else at once: the close of a caller may be among them.
 */
export function afterEvents(node: EntryNode, callback: () => void): void {
  if (isBehind(node.turns.lag, node.clock())) setImmediate(callback);
  else callback();
}
