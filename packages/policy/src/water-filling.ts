/**
 * Water-filling: the split of an amount of work over queues of unequal length that
 * leaves the filled ones equally long. Answers load that arrives from many nodes between
 * two reports of the queues: an upstream gets what it lacks to the common level, so that
 * it is the shortest queue with fresh reports and an even split with old ones. Pure
 * functions only.
 */

/** A queue as one request sees it. */
export interface Queue {
  /** Time until a new request would start, with penalties, in work units. */
  readonly delay: number;
  /** Work units done in the time in which an undisturbed upstream does one. */
  readonly speed: number;
}

/** The delay to which an amount of work fills the shortest queues. */
export function computeLevel(queues: readonly Queue[], amount: number): number {
  let level = Infinity;
  for (;;) {
    let speed = 0;
    let queued = 0;
    for (const queue of queues) {
      if (queue.delay >= level) continue;
      speed += queue.speed;
      queued += queue.speed * queue.delay;
    }
    if (speed === 0) return level;
    // Without the queues that are longer the level is lower, so that it converges.
    const next = (amount + queued) / speed;
    if (next >= level) return level;
    level = next;
  }
}

/** Work that fills a queue up to a level. */
export function fillWork({delay, speed}: Queue, level: number): number {
  return Math.max(0, level - delay) * speed;
}

/**
 * Index of the queue at a position in [0, 1) of the work that fills all queues up to a
 * level; `undefined` if none is below it.
 */
export function pickQueue(
  queues: readonly Queue[],
  level: number,
  position: number,
): number | undefined {
  let sum = 0;
  for (const queue of queues) sum += fillWork(queue, level);
  let rest = position * sum;
  let picked: number | undefined;
  for (const [index, queue] of queues.entries()) {
    const work = fillWork(queue, level);
    if (work <= 0) continue;
    picked = index;
    rest -= work;
    if (rest < 0) break;
  }
  return picked;
}
