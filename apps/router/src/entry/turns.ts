/**
 * Gives requests their turns while the event loop is behind. A close that arrived before
 * its request was read is known only two iterations of the loop later; without turns the
 * request would have been sent by then.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {
  createLoopLag,
  isBehind,
  recordTick,
  TICK_INTERVAL_MS,
  type LoopLag,
} from '@parsleyarch/policy/loop-lag';
import {
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

/** Measures the lag of the event loop until the node stops. */
export function measureLag({manager, turns, clock}: EntryNode): void {
  const timer = setInterval(
    () => recordTick(turns.lag, clock()),
    TICK_INTERVAL_MS,
  );
  registerResource(manager, 'loop-lag', () => clearInterval(timer));
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

/** Resolves when a request may begin: at once unless the event loop is behind. */
export async function takeTurn(
  node: EntryNode,
  exchange: Exchange,
): Promise<void> {
  const {lag, queue} = node.turns;
  const now = node.clock();
  markIteration(node.turns, now);
  const isFirst = queue.waiting.length === 0;
  if (isFirst && !isBehind(lag, now)) return;
  await new Promise<void>(begin => {
    enqueue(queue, {exchange, begin}, priorityOf(exchange));
    if (isFirst) setImmediate(() => runIteration(node));
  });
}

/**
 * Calls back once the events of the current iteration are handled, if the event loop is
 * behind, else at once: the close of a caller may be among them.
 */
export function afterEvents(node: EntryNode, callback: () => void): void {
  if (isBehind(node.turns.lag, node.clock())) setImmediate(callback);
  else callback();
}
