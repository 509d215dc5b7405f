/** Decisions of the entry path. */
import {chanceGood, escalate} from '@parsleyarch/policy/model-choice';
import {
  countFirstSend,
  createRetryWindow,
  retriesLeft,
  consumeRetry,
} from '@parsleyarch/policy/retry-window';
import {
  authorizeKey,
  drawService,
  findRoute,
  indexRoutes,
} from '@parsleyarch/policy/routes';
import {
  chooseCandidate,
  coldAllowance,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {digestOf, rankFor} from '@parsleyarch/policy/rendezvous';
import type {Route, RoutingTable} from '@parsleyarch/resource/routing';
import test from 'ava';
import fc from 'fast-check';

const ROUTE: Route = {
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  targets: [{service: 's', weight: 1}],
  repeatability: 'idempotent',
  timeoutMs: 1,
  objectiveMs: 1,
  maxAttempts: 1,
  priority: 1,
  models: [],
  isPublic: false,
  pauseObjectiveMs: 1,
};
const table = (routes: Route[], keys?: RoutingTable['keys']): RoutingTable => ({
  version: 1,
  routes,
  services: new Map(),
  keys,
  limits: {headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
});

test('the longest prefix of the host wins, and the query is no part of it', t => {
  const index = indexRoutes(
    table([
      ROUTE,
      {...ROUTE, name: 'deep', pathPrefix: '/a/b/'},
      {...ROUTE, name: 'mid', pathPrefix: '/a/'},
    ]),
  );
  t.is(findRoute(index, 'H:80', '/a/b/c')?.name, 'deep');
  t.is(findRoute(index, 'h', '/a/x?y=/a/b/')?.name, 'mid');
  t.is(findRoute(index, 'h', '/a')?.name, 'r');
  t.is(findRoute(index, 'other', '/a/'), undefined);
});

test('a key admits its customer, and a public route needs none', t => {
  const keys = new Map([['k', {name: 'c'}]]);
  t.like(authorizeKey(table([], keys), ROUTE, 'k'), {
    authorized: true,
    customer: {name: 'c'},
  });
  t.false(authorizeKey(table([], keys), ROUTE, 'x').authorized);
  t.false(authorizeKey(table([], keys), ROUTE, undefined).authorized);
  t.true(
    authorizeKey(table([], keys), {...ROUTE, isPublic: true}, undefined)
      .authorized,
  );
  t.true(authorizeKey(table([]), ROUTE, undefined).authorized);
});

test('services are drawn by weight', t => {
  const route = {
    ...ROUTE,
    targets: [
      {service: 'a', weight: 9},
      {service: 'b', weight: 1},
    ],
  };
  t.is(drawService(route, 0.89), 'a');
  t.is(drawService(route, 0.91), 'b');
});

const WINDOW_MS = 5_000;

/** Plays first sends and wishes to repeat; returns the times of both. */
function playRetries(steps: readonly {ms: number; first: boolean}[]) {
  const bounds = {windowMs: WINDOW_MS, ratio: 0.5, slack: 2};
  const window = createRetryWindow(bounds);
  const events: {at: number; first: boolean}[] = [];
  let now = 0;
  for (const {ms, first} of steps) {
    now += ms;
    if (first) countFirstSend(window, now);
    else if (!consumeRetry(window, now)) continue;
    events.push({at: now, first});
  }
  const count = (first: boolean, from: number, to: number) =>
    events.filter(e => e.first === first && e.at > from && e.at <= to).length;
  return {events, count};
}

test('repeats of a window never pass the ratio of it and the one before', t => {
  const step = fc.record({
    ms: fc.integer({max: 900, min: 0}),
    first: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {minLength: 20, maxLength: 200}), steps => {
      const {events, count} = playRetries(steps);
      return events.every(({at}) => {
        const firsts = count(true, at - 2 * WINDOW_MS - 500, at);
        return count(false, at - WINDOW_MS, at) <= firsts * 0.5 + 2;
      });
    }),
  );
  t.pass();
});

test('with steady requests repeats keep the ratio in every sliding window', t => {
  const wishes = fc.array(fc.integer({min: 0, max: 6}), {
    minLength: 200,
    maxLength: 200,
  });
  fc.assert(
    fc.property(wishes, list => {
      const steps = list.flatMap(repeats => [
        {ms: 100, first: true},
        ...Array.from({length: repeats}, () => ({ms: 0, first: false})),
      ]);
      const {events, count} = playRetries(steps);
      return events.every(({at}) => {
        const firsts = [0, WINDOW_MS / 2, WINDOW_MS].map(back =>
          count(true, at - back - WINDOW_MS, at - back),
        );
        return (
          count(false, at - WINDOW_MS, at) <= Math.max(...firsts) * 0.5 + 2
        );
      });
    }),
  );
  t.pass();
});

test('a window without requests allows its slack', t => {
  const window = createRetryWindow({windowMs: 5_000, ratio: 0.5, slack: 2});
  t.true(consumeRetry(window, 0));
  t.true(consumeRetry(window, 0));
  t.false(consumeRetry(window, 0));
  t.is(retriesLeft(window, 20_000), 2);
});

const candidate = (change: Partial<UpstreamCandidate>): UpstreamCandidate => ({
  id: 'a',
  sameDomain: true,
  present: 0,
  added: 0,
  failures: 0,
  down: false,
  coldFull: false,
  ...change,
});
const WEIGHTS = {otherDomain: 1, failure: 8, jitter: 0};

test('the upstream with the least work is chosen', t => {
  const near = candidate({id: 'near', present: 5});
  const far = candidate({id: 'far', present: 3, sameDomain: false});
  t.is(chooseCandidate([near, far], WEIGHTS, () => 0)?.id, 'far');
  t.is(
    chooseCandidate(
      [candidate({id: 'near', present: 3}), far],
      WEIGHTS,
      () => 0,
    )?.id,
    'near',
  );
});

test('an upstream that fails is used only when all do', t => {
  const failing = candidate({id: 'failing', failures: 1});
  t.is(
    chooseCandidate(
      [failing, candidate({id: 'busy', present: 6})],
      WEIGHTS,
      () => 0,
    )?.id,
    'busy',
  );
  t.is(chooseCandidate([failing], WEIGHTS, () => 0)?.id, 'failing');
});

test('an upstream that cannot be reached is used only when all others are out', t => {
  const down = candidate({id: 'down', down: true});
  const busy = candidate({id: 'busy', present: 60, failures: 9});
  t.is(chooseCandidate([down, busy], WEIGHTS, () => 0)?.id, 'busy');
  t.is(chooseCandidate([down], WEIGHTS, () => 0)?.id, 'down');
});

test('a cold upstream without room is never chosen', t => {
  t.is(
    chooseCandidate([candidate({coldFull: true})], WEIGHTS, () => 0),
    undefined,
  );
});

test('the sends of all nodes in one second keep a cold upstream within its bound', t => {
  fc.assert(
    fc.property(
      fc.double({min: 0.5, max: 100, noNaN: true}),
      fc.integer({min: 1, max: 400}),
      (bound, nodes) => {
        let sends = 0;
        for (let rank = 0; rank < nodes; rank += 1)
          sends += coldAllowance(bound, nodes, rank);
        return sends <= bound;
      },
    ),
  );
  t.pass();
});

test('nodes rank themselves alike, each at a place of its own', t => {
  const names = fc.uniqueArray(fc.string(), {minLength: 1, maxLength: 60});
  fc.assert(
    fc.property(names, fc.string(), (listed, key) => {
      const nodes = listed.map(name => ({digest: digestOf(name)}));
      const digest = digestOf(key);
      const ranks = nodes.map(node =>
        rankFor(digest, node, [...nodes].reverse()),
      );
      return new Set(ranks).size === nodes.length;
    }),
  );
  t.pass();
});

const option = (change = {}) => ({
  name: 'large',
  cost: 0.16,
  expectedMs: 200,
  presentWork: 0,
  confidenceGain: 70,
  ...change,
});
const answer = (confidence: number, elapsedMs = 100) => ({
  confidence,
  elapsedMs,
  objectiveMs: 2_000,
});

test('an unsure answer is replaced and a sure one stands', t => {
  t.is(escalate(answer(20), [option()])?.name, 'large');
  t.is(escalate(answer(90), [option()]), undefined);
});

test('no larger model is asked when it would come too late to gain', t => {
  t.truthy(escalate(answer(40), [option()]));
  t.is(escalate(answer(40, 1_900), [option({expectedMs: 3_000})]), undefined);
});

test('a crowded upstream takes only the least sure answers', t => {
  t.is(escalate(answer(45), [option({presentWork: 18})]), undefined);
  t.truthy(escalate(answer(0), [option({presentWork: 12})]));
});

test('confidence orders the chance that an answer is good', t => {
  t.true(chanceGood(80) > 0.9 && chanceGood(20) < 0.1);
  t.is(chanceGood(50), 0.5);
});

test('the expected value beats fixed rules on drawn requests', t => {
  // Hardness is uniform; confidence is a noisy reading of it.
  let seed = 1;
  const random = () => (seed = (seed * 48_271) % 2_147_483_647) / 2_147_483_647;
  const totals = {chosen: 0, smallest: 0, largest: 0};
  for (let i = 0; i < 5_000; i += 1) {
    const hardness = random();
    const noise = (random() + random() + random() - 1.5) * 30;
    const confidence = Math.min(
      100,
      Math.max(0, 50 + 164 * (0.56 - hardness) + noise),
    );
    const small = hardness < 0.56 ? 1 : 0.05;
    totals.smallest += small;
    totals.largest += 1 - 0.16;
    totals.chosen += escalate(answer(confidence), [option()])
      ? 1 - 0.16
      : small;
  }
  t.true(totals.chosen > totals.smallest && totals.chosen > totals.largest);
});
