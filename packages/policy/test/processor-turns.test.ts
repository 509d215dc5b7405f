import {
  createLoopLag,
  isBehind,
  lagAt,
  recordTick,
  TICK_INTERVAL_MS,
} from '@parsleyarch/policy/loop-lag';
import {
  createTurnQueue,
  enqueue,
  takeNext,
} from '@parsleyarch/policy/processor-turns';
import test from 'ava';
import fc from 'fast-check';

test('a loop is behind from a late or overdue tick until one is in time', t => {
  const lag = createLoopLag(0);
  t.false(isBehind(lag, TICK_INTERVAL_MS));
  t.is(lagAt(lag, TICK_INTERVAL_MS + 80), 80);
  recordTick(lag, TICK_INTERVAL_MS + 1_200);
  t.is(lagAt(lag, TICK_INTERVAL_MS + 1_210), 1_200);
  recordTick(lag, lag.dueAt);
  t.false(isBehind(lag, lag.dueAt - 1));
  lag.iterationStartedAt = lag.dueAt - 250;
  t.is(lagAt(lag, lag.dueAt - 90), 160);
});

/** Requests that arrive in iterations of the loop and whose callers may leave. */
const Arrivals = fc.array(
  fc.record({
    iteration: fc.nat(40),
    priority: fc.nat(3),
    leaves: fc.option(fc.nat(60)),
  }),
  {maxLength: 80},
);

test('each request begins once, urgent ones first, and none whose close was known', t => {
  const property = fc.property(Arrivals, arrivals => {
    const queue = createTurnQueue<(typeof arrivals)[number]>();
    const begun = new Set<object>();
    for (let now = 0; now < 200; now += 1) {
      for (const request of arrivals) {
        if (request.iteration === now)
          enqueue(queue, request, request.priority);
      }
      const hasLeft = ({leaves}: (typeof arrivals)[number]) =>
        leaves !== null && leaves <= now;
      const taken = takeNext(queue, now, hasLeft);
      const started = taken.filter(request => !hasLeft(request));
      if (started.length > 1 || taken.some(request => begun.has(request)))
        return false;
      for (const request of taken) begun.add(request);
      for (const {iteration, priority} of started) {
        if (now - iteration < 1) return false;
        const passed = queue.waiting.filter(
          ({item, iteration: first}) =>
            first <= queue.iteration && item.priority < priority,
        );
        if (passed.length > 0) return false;
      }
    }
    return begun.size === arrivals.length;
  });
  fc.assert(property, {seed: 43});
  t.pass();
});
