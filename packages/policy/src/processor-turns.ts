/**
 * The order in which a node begins with requests while its event loop is behind.
 * Answers bursts of requests beyond the processor of a node: one request begins in each
 * iteration of the loop, the most urgent one first, so that closes, deadlines and
 * answers are seen in between. Pure functions only.
 */

/** Iterations in which a close that arrived before its request was read becomes known. */
const MIN_ITERATIONS = 2;
/** Weight of the latest interval in the mean time between two turns. */
const TURN_WEIGHT = 0.2;

/** A request that waits for its turn. */
export interface Waiting<T> {
  readonly item: T;
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** First iteration in which it may begin. */
  readonly iteration: number;
}

/** Requests that wait, in the order of their turns. */
export interface TurnQueue<T> {
  waiting: Waiting<T>[];
  /** Number of the current iteration of the event loop. */
  iteration: number;
  /** Mean time between two turns while requests wait, milliseconds. */
  turnMs: number;
  /** When the latest turn was given; absent once no request waits. */
  lastTurnAt?: number;
}

export function createTurnQueue<T>(): TurnQueue<T> {
  return {waiting: [], iteration: 0, turnMs: 0};
}

/** Adds a request behind those that are at least as urgent. */
export function enqueue<T>(
  queue: TurnQueue<T>,
  item: T,
  priority: number,
): void {
  const {waiting} = queue;
  const next = waiting.findIndex(other => other.priority > priority);
  const position = next < 0 ? waiting.length : next;
  const iteration = queue.iteration + MIN_ITERATIONS;
  waiting.splice(position, 0, {item, priority, iteration});
}

/** Requests that begin before a new one of a priority. */
export function countAhead<T>(
  {waiting}: TurnQueue<T>,
  priority: number,
): number {
  return waiting.filter(other => other.priority <= priority).length;
}

/**
 * Begins an iteration of the event loop. Returns the requests that have ended and the
 * one whose turn it is, and removes them.
 */
export function takeNext<T>(
  queue: TurnQueue<T>,
  now: number,
  hasEnded: (item: T) => boolean,
): T[] {
  queue.iteration += 1;
  const ended = queue.waiting.filter(({item}) => hasEnded(item));
  const left = queue.waiting.filter(({item}) => !hasEnded(item));
  const index = left.findIndex(({iteration}) => iteration <= queue.iteration);
  const next = index < 0 ? [] : left.splice(index, 1);
  queue.waiting = left;
  if (next.length > 0) recordTurn(queue, now);
  return [...ended, ...next].map(({item}) => item);
}

function recordTurn<T>(queue: TurnQueue<T>, now: number): void {
  const {lastTurnAt = now, turnMs} = queue;
  queue.turnMs = turnMs + TURN_WEIGHT * (now - lastTurnAt - turnMs);
  queue.lastTurnAt = queue.waiting.length > 0 ? now : undefined;
}
