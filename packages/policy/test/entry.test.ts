/** Tests of the decisions on the entry path. */
import {chanceGood, escalate} from '@parsleyarch/policy/model-choice';
import {
  allowsLargerModel,
  countFirstSend,
  createRetryWindow,
  retriesLeft,
  consumeRetry,
  returnRetry,
} from '@parsleyarch/policy/retry-window';
import {
  authorizeKey,
  drawService,
  findRoute,
  indexRoutes,
} from '@parsleyarch/policy/routes';
import {
  chooseCandidate,
  limitColdSends,
  type UpstreamCandidate,
} from '@parsleyarch/policy/upstream-choice';
import {hashName, rankMember} from '@parsleyarch/policy/rendezvous';
import type {
  KeyHolder,
  Route,
  RoutingTable,
} from '@parsleyarch/resource/routing';
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
const makeTable = (
  routes: Route[],
  keys?: RoutingTable['keys'],
): RoutingTable => ({
  version: 1,
  routes,
  services: new Map(),
  keys,
  limits: {headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
});

test('priorities that compete are those of customers, else of routes', t => {
  const targets = [{service: 'other', weight: 1}];
  const routes = [
    {...ROUTE, priority: 9, objectiveMs: 500, timeoutMs: 900},
    ROUTE,
    {...ROUTE, targets, priority: 4, isPublic: true},
  ];
  const ranked = new Map([['k', {name: 'c', priority: 2}]]);
  const {competitions} = indexRoutes(makeTable(routes, ranked));
  t.deepEqual(competitions.get('s'), {
    priorities: [2],
    routePriorities: [1, 9],
    longestObjectiveMs: 500,
  });
  t.deepEqual(competitions.get('other')?.priorities, [2, 4]);
  const unranked = new Map<string, KeyHolder>([...ranked, ['l', {name: 'd'}]]);
  const others = indexRoutes(makeTable(routes, unranked)).competitions;
  t.deepEqual(others.get('s')?.priorities, [1, 2, 9]);
});

test('the longest path prefix of the host matches, ignoring the query', t => {
  const index = indexRoutes(
    makeTable([
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

test('a key admits its customer, and a public route needs no key', t => {
  const keys = new Map([['k', {name: 'c'}]]);
  t.like(authorizeKey(makeTable([], keys), ROUTE, 'k'), {
    authorized: true,
    customer: {name: 'c'},
  });
  t.false(authorizeKey(makeTable([], keys), ROUTE, 'x').authorized);
  t.false(authorizeKey(makeTable([], keys), ROUTE, undefined).authorized);
  t.true(
    authorizeKey(makeTable([], keys), {...ROUTE, isPublic: true}, undefined)
      .authorized,
  );
  t.true(authorizeKey(makeTable([]), ROUTE, undefined).authorized);
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

/** Simulates first sends and retries; returns the times of both. */
function simulateRetries(steps: readonly {ms: number; first: boolean}[]) {
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

test('retries in a window never exceed the ratio of this window and the previous one', t => {
  const step = fc.record({
    ms: fc.integer({max: 900, min: 0}),
    first: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, {minLength: 20, maxLength: 200}), steps => {
      const {events, count} = simulateRetries(steps);
      return events.every(({at}) => {
        const firsts = count(true, at - 2 * WINDOW_MS - 500, at);
        return count(false, at - WINDOW_MS, at) <= firsts * 0.5 + 2;
      });
    }),
  );
  t.pass();
});

test('with steady requests retries keep to the ratio in every sliding window', t => {
  const retryCounts = fc.array(fc.integer({min: 0, max: 6}), {
    minLength: 200,
    maxLength: 200,
  });
  fc.assert(
    fc.property(retryCounts, drawnCounts => {
      const steps = drawnCounts.flatMap(retries => [
        {ms: 100, first: true},
        ...Array.from({length: retries}, () => ({ms: 0, first: false})),
      ]);
      const {events, count} = simulateRetries(steps);
      return events.every(({at}) => {
        const firsts = [0, WINDOW_MS / 2, WINDOW_MS].map(offsetMs =>
          count(true, at - offsetMs - WINDOW_MS, at - offsetMs),
        );
        return (
          count(false, at - WINDOW_MS, at) <= Math.max(...firsts) * 0.5 + 2
        );
      });
    }),
  );
  t.pass();
});

test('at 195 nodes a node may ask a larger model from its first requests on', t => {
  const slack = (430 * 0.7) / 195;
  const window = createRetryWindow({windowMs: 10_000, ratio: 0.828, slack});
  let asked = 0;
  for (let sent = 0; sent < 20; sent += 1) {
    countFirstSend(window, sent * 500);
    // About two in five answers of the smallest model are not good enough.
    if (sent % 5 >= 2 || !allowsLargerModel(window, sent * 500)) continue;
    t.true(consumeRetry(window, sent * 500));
    asked += 1;
  }
  t.is(asked, 8);
});

test('a window without requests allows only its slack', t => {
  const window = createRetryWindow({windowMs: 5_000, ratio: 0.5, slack: 2});
  t.true(consumeRetry(window, 0));
  t.true(consumeRetry(window, 0));
  t.false(consumeRetry(window, 0));
  t.is(retriesLeft(window, 20_000), 2);
});

const makeCandidate = (
  overrides: Partial<UpstreamCandidate>,
): UpstreamCandidate => ({
  id: 'a',
  sameDomain: true,
  presentWork: 0,
  addedWork: 0,
  failures: 0,
  down: false,
  coldFull: false,
  ...overrides,
});
const PENALTIES = {otherDomain: 1, failure: 8, jitter: 0};

test('the upstream with the least work is chosen', t => {
  const near = makeCandidate({id: 'near', presentWork: 5});
  const far = makeCandidate({id: 'far', presentWork: 3, sameDomain: false});
  t.is(chooseCandidate([near, far], PENALTIES, () => 0)?.id, 'far');
  t.is(
    chooseCandidate(
      [makeCandidate({id: 'near', presentWork: 3}), far],
      PENALTIES,
      () => 0,
    )?.id,
    'near',
  );
});

test('a failing upstream is used only when all upstreams fail', t => {
  const failing = makeCandidate({id: 'failing', failures: 1});
  t.is(
    chooseCandidate(
      [failing, makeCandidate({id: 'busy', presentWork: 6})],
      PENALTIES,
      () => 0,
    )?.id,
    'busy',
  );
  t.is(chooseCandidate([failing], PENALTIES, () => 0)?.id, 'failing');
});

test('an unreachable upstream is used only when no other is left', t => {
  const down = makeCandidate({id: 'down', down: true});
  const busy = makeCandidate({id: 'busy', presentWork: 60, failures: 9});
  t.is(chooseCandidate([down, busy], PENALTIES, () => 0)?.id, 'busy');
  t.is(chooseCandidate([down], PENALTIES, () => 0)?.id, 'down');
});

test('a cold upstream without remaining sends is never chosen', t => {
  t.is(
    chooseCandidate([makeCandidate({coldFull: true})], PENALTIES, () => 0),
    undefined,
  );
});

test('the sends of all nodes in one second stay within the limit of a cold upstream', t => {
  fc.assert(
    fc.property(
      fc.double({min: 0.5, max: 100, noNaN: true}),
      fc.integer({min: 1, max: 400}),
      (limit, nodeCount) => {
        let sends = 0;
        for (let rank = 0; rank < nodeCount; rank += 1)
          sends += limitColdSends(limit, nodeCount, rank);
        return sends <= limit;
      },
    ),
  );
  t.pass();
});

test('every node has a rank of its own, the same on all nodes', t => {
  const names = fc.uniqueArray(fc.string(), {minLength: 1, maxLength: 60});
  fc.assert(
    fc.property(names, fc.string(), (drawnNames, key) => {
      const nodes = drawnNames.map(name => ({digest: hashName(name)}));
      const digest = hashName(key);
      const ranks = nodes.map(node =>
        rankMember(digest, node, [...nodes].reverse()),
      );
      return new Set(ranks).size === nodes.length;
    }),
  );
  t.pass();
});

const makeOption = (overrides = {}) => ({
  name: 'large',
  cost: 0.16,
  expectedMs: 200,
  presentWork: 0,
  confidenceGain: 70,
  ...overrides,
});
const makeAnswer = (confidence: number, elapsedMs = 100) => ({
  confidence,
  elapsedMs,
  objectiveMs: 2_000,
});

test('an answer with low confidence is escalated, and one with high confidence is not', t => {
  t.is(escalate(makeAnswer(20), [makeOption()])?.name, 'large');
  t.is(escalate(makeAnswer(90), [makeOption()]), undefined);
});

test('a request is not escalated when the answer would come too late', t => {
  t.truthy(escalate(makeAnswer(40), [makeOption()]));
  t.is(
    escalate(makeAnswer(40, 1_900), [makeOption({expectedMs: 3_000})]),
    undefined,
  );
});

test('a loaded upstream gets only the answers with the lowest confidence', t => {
  t.is(escalate(makeAnswer(45), [makeOption({presentWork: 18})]), undefined);
  t.truthy(escalate(makeAnswer(0), [makeOption({presentWork: 12})]));
});

test('the chance that an answer is good grows with its confidence', t => {
  t.true(chanceGood(80) > 0.9 && chanceGood(20) < 0.1);
  t.is(chanceGood(50), 0.5);
});

test('choosing by expected value beats fixed rules on random requests', t => {
  // Hardness is uniform, and confidence is a noisy measure of it.
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
    totals.chosen += escalate(makeAnswer(confidence), [makeOption()])
      ? 1 - 0.16
      : small;
  }
  t.true(totals.chosen > totals.smallest && totals.chosen > totals.largest);
});

test('a retry that has not arrived can be made again, and counts no longer', t => {
  const window = createRetryWindow({windowMs: 5_000, ratio: 0, slack: 2});
  t.true(consumeRetry(window, 0));
  t.true(consumeRetry(window, 900));
  t.false(consumeRetry(window, 1_000));
  returnRetry(window, 900);
  t.is(retriesLeft(window, 1_000), 1);
  t.true(consumeRetry(window, 1_000));
  returnRetry(window, 2_000);
  t.is(retriesLeft(window, 2_000), 0);
});
