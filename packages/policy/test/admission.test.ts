import test from 'ava';
import {
  countRequestsAhead,
  decideWait,
  EMPTY_QUEUE,
  enqueue,
  FULL_RETRY_BUDGET,
  listInServingOrder,
  removeQueued,
  spendRetryToken,
  takeRateToken,
} from '../src/admission.js';

test('a burst of one customer delays another by a few requests at most', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 100; index += 1)
    queue = enqueue(queue, `large-${index}`, 'large', 4);
  queue = enqueue(queue, 'small-0', 'small', 1);
  const order = listInServingOrder(queue).map(request => request.id);
  t.true(order.indexOf('small-0') <= 5);
});

test('customers are served in proportion to their weights', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 40; index += 1) {
    queue = enqueue(queue, `a-${index}`, 'a', 3);
    queue = enqueue(queue, `b-${index}`, 'b', 1);
  }
  const first = listInServingOrder(queue).slice(0, 20);
  t.is(first.filter(request => request.customer === 'a').length, 15);
});

test('a queue that becomes empty is reset', t => {
  const queue = enqueue(EMPTY_QUEUE, 'x', 'a', 1);
  t.is(removeQueued(queue, 'x'), EMPTY_QUEUE);
});

test('a request that would wait too long is rejected at once with a retry time', t => {
  const load = {requestsAhead: 50, credits: 2, serviceMs: 100};
  const rejected = decideWait(load, 30_000);
  t.false(rejected.wait);
  if (!rejected.wait) t.true(rejected.retryAfterMs >= 100);
  t.true(decideWait({...load, requestsAhead: 1}, 30_000).wait);
  t.false(decideWait({...load, requestsAhead: 0}, 50).wait);
});

test('each node enforces its part of a rate', t => {
  let bucket;
  let admitted = 0;
  for (let now = 0; now < 10_000; now += 10) {
    const result = takeRateToken(bucket, 30, 3, now);
    ({bucket} = result);
    if (result.admitted) admitted += 1;
    else t.true(result.retryAfterMs > 0);
  }
  t.true(admitted >= 100 && admitted <= 122, String(admitted));
});

test('the retry budget limits retries, so that they cannot amplify an overload', t => {
  let budget = FULL_RETRY_BUDGET;
  let allowed = 0;
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const result = spendRetryToken(budget);
    ({budget} = result);
    if (result.allowed) allowed += 1;
  }
  t.is(allowed, 10);
});

test('a long queue of one customer does not count in full for another', t => {
  let queue = EMPTY_QUEUE;
  for (let index = 0; index < 100; index += 1)
    queue = enqueue(queue, `large-${index}`, 'large', 4);
  t.is(countRequestsAhead(queue, 'large', 4), 100);
  t.true(countRequestsAhead(queue, 'small', 1) <= 4);
});
