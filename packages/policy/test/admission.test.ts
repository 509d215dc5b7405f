import test from 'ava';
import {
  countAhead,
  decideWait,
  dequeue,
  EMPTY_QUEUE,
  enqueue,
  FULL_RETRIES,
  servingOrder,
  takeRate,
  takeRetry,
} from '../src/admission.js';

test('a large customer that floods does not keep a small one waiting', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 100; index += 1)
    queue = enqueue(queue, `large-${index}`, 'large', 4);
  queue = enqueue(queue, 'small-0', 'small', 1);
  const order = servingOrder(queue).map(waiter => waiter.id);
  t.true(order.indexOf('small-0') <= 5);
});

test('turns come in proportion to weight', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 40; index += 1) {
    queue = enqueue(queue, `a-${index}`, 'a', 3);
    queue = enqueue(queue, `b-${index}`, 'b', 1);
  }
  const first = servingOrder(queue).slice(0, 20);
  t.is(first.filter(waiter => waiter.customer === 'a').length, 15);
});

test('a queue that empties remembers nobody', t => {
  const queue = enqueue(EMPTY_QUEUE, 'x', 'a', 1);
  t.is(dequeue(queue, 'x'), EMPTY_QUEUE);
});

test('a request that would wait too long is refused at once, with a time', t => {
  const pace = {waiting: 50, credits: 2, serviceMs: 100};
  const refused = decideWait(pace, 30_000);
  t.false(refused.wait);
  if (!refused.wait) t.true(refused.retryAfterMs >= 100);
  t.true(decideWait({...pace, waiting: 1}, 30_000).wait);
  t.false(decideWait({...pace, waiting: 0}, 50).wait);
});

test('rates are kept by each node for its share', t => {
  let bucket;
  let admitted = 0;
  for (let now = 0; now < 10_000; now += 10) {
    const taken = takeRate(bucket, 30, 3, now);
    ({bucket} = taken);
    if (taken.admitted) admitted += 1;
    else t.true(taken.retryAfterMs > 0);
  }
  t.true(admitted >= 100 && admitted <= 122, String(admitted));
});

test('retries run out, so that they never feed a load', t => {
  let budget = FULL_RETRIES;
  let allowed = 0;
  for (let tries = 0; tries < 50; tries += 1) {
    const taken = takeRetry(budget);
    ({budget} = taken);
    if (taken.allowed) allowed += 1;
  }
  t.is(allowed, 10);
});

test('a small customer is not refused for the queue of a large one', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 100; index += 1)
    queue = enqueue(queue, `large-${index}`, 'large', 4);
  t.is(countAhead(queue, 'large', 4), 100);
  t.true(countAhead(queue, 'small', 1) <= 4);
});
