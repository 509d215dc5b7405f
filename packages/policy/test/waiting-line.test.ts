/** Tests of the order of waiting requests, of holding back and of return times. */
import {PRIORITY_CLASS_COUNT} from '@parsleyarch/policy/priorities';
import {computeRetryMs} from '@parsleyarch/policy/retry-time';
import {
  admit,
  Admission,
  predictWaitMs,
  queueMs,
} from '@parsleyarch/policy/room';
import {
  createLine,
  joinLine,
  leaveLine,
  listInOrder,
  type WaitingRequest,
} from '@parsleyarch/policy/waiting-line';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

const REQUEST: WaitingRequest = {
  priorityClass: 1,
  customer: 'c',
  joinedAt: 0,
  objectiveAt: 1_000,
  leavesAt: 4_000,
};

/** A kind of request; its share of the arrivals follows from `perSecond`. */
interface Kind {
  readonly customer: string;
  readonly priorityClass: number;
  readonly perSecond: number;
}

interface Tally {
  asked: number;
  served: number;
  worstMs: number;
}

const RUN_MS = 60;
const PLACES = 3;
const PATIENCE_MS = 2_000;
const LENGTH_MS = 10_000;
const STEP_MS = 10;

/** Plays arrivals at a service with some places; returns what each kind gets. */
function play(kinds: readonly Kind[], seed: number): Tally[] {
  const random = seededRandom(seed);
  const line = createLine<WaitingRequest & {kind: Kind}>();
  const tallies = new Map<Kind, Tally>();
  for (const kind of kinds)
    tallies.set(kind, {asked: 0, served: 0, worstMs: 0});
  const busyUntil = Array<number>(PLACES).fill(0);
  for (let now = 0; now < LENGTH_MS; now += STEP_MS) {
    for (const kind of kinds) {
      if (random() >= (kind.perSecond * STEP_MS) / 1_000) continue;
      tallies.get(kind)!.asked += 1;
      const times = {
        joinedAt: now,
        objectiveAt: now + 300,
        leavesAt: now + PATIENCE_MS,
      };
      joinLine(line, {...kind, ...times, kind});
    }
    for (const request of line.starts.keys()) {
      if (request.leavesAt <= now) leaveLine(line, request, false);
    }
    for (let place = 0; place < PLACES; place += 1) {
      if (busyUntil[place] > now) continue;
      const [next] = listInOrder(line, now);
      if (!next) break;
      leaveLine(line, next, true);
      busyUntil[place] = now + RUN_MS;
      const tally = tallies.get(next.kind)!;
      tally.served += 1;
      tally.worstMs = Math.max(tally.worstMs, now - next.joinedAt);
    }
  }
  return [...tallies.values()];
}

const SEEDS = [1, 2, 3];
const servedShare = ({asked, served}: Tally) => served / asked;

test('urgent requests do not wait behind an overload of less urgent ones', t => {
  for (const seed of SEEDS) {
    const [urgent] = play(
      [
        {customer: 'a', priorityClass: 0, perSecond: 10},
        {customer: 'a', priorityClass: 2, perSecond: 80},
      ],
      seed,
    );
    t.true(servedShare(urgent) > 0.99, JSON.stringify(urgent));
    t.true(urgent.worstMs <= 300, JSON.stringify(urgent));
  }
});

test('less urgent requests are served under an overload of urgent ones, and in their time', t => {
  for (const seed of SEEDS) {
    const [urgent, rare] = play(
      [
        {customer: 'a', priorityClass: 0, perSecond: 70},
        {customer: 'a', priorityClass: PRIORITY_CLASS_COUNT - 1, perSecond: 5},
      ],
      seed,
    );
    const shares = [urgent, rare].map(servedShare);
    t.true(shares[1] >= shares[0] / 4, JSON.stringify(shares));
  }
});

test('a customer that sends many times its usual does not starve another one', t => {
  for (const seed of SEEDS) {
    const [hot, small] = play(
      [
        {customer: 'hot', priorityClass: 1, perSecond: 90},
        {customer: 'small', priorityClass: 1, perSecond: 8},
      ],
      seed,
    );
    t.true(servedShare(small) > 0.95, JSON.stringify([hot, small]));
  }
});

test('equal requests go by the time left, and late ones follow', t => {
  const line = createLine<WaitingRequest>();
  const late = {...REQUEST, customer: 'l', objectiveAt: 50};
  const relaxed = {...REQUEST, customer: 'r', objectiveAt: 3_000};
  const urgent = {...REQUEST, customer: 'u'};
  for (const request of [late, relaxed, urgent]) joinLine(line, request);
  t.deepEqual(listInOrder(line, 60), [urgent, relaxed, late]);
});

test('a line holds exactly the requests that have joined and not left', t => {
  const step = fc.record({
    join: fc.boolean(),
    sent: fc.boolean(),
    pick: fc.nat(),
  });
  fc.assert(
    fc.property(fc.array(step), steps => {
      const line = createLine<WaitingRequest>();
      const present = new Set<WaitingRequest>();
      for (const {join, sent, pick} of steps) {
        const chosen = [...present][pick % Math.max(1, present.size)];
        if (join) {
          const request = {...REQUEST, priorityClass: pick % 4};
          present.add(request);
          joinLine(line, request);
        } else if (chosen) {
          present.delete(chosen);
          leaveLine(line, chosen, sent);
        }
        const listed = listInOrder(line, pick);
        t.is(listed.length, present.size);
        t.true(listed.every(request => present.has(request)));
      }
    }),
    {seed: 1, numRuns: 50},
  );
});

test('a place that is free is never left waiting, and no wait ends after the caller left', t => {
  const request = fc.record({
    waitMs: fc.nat(10_000),
    untilObjectiveMs: fc.integer({min: -5_000, max: 5_000}),
    untilLeaveMs: fc.nat(10_000),
    competes: fc.boolean(),
  });
  fc.assert(
    fc.property(request, crowded => {
      const admission = admit(crowded);
      const {waitMs, untilObjectiveMs, untilLeaveMs, competes} = crowded;
      if (waitMs === 0) t.is(admission, Admission.send);
      if (admission === Admission.refuse) t.true(waitMs >= untilLeaveMs);
      if (admission !== Admission.hold) return;
      t.true(competes && waitMs > untilObjectiveMs && waitMs < untilLeaveMs);
    }),
    {seed: 1},
  );
  t.is(predictWaitMs({placed: 5, slots: 6, backlogMs: 900}), 0);
  t.is(predictWaitMs({placed: 6, slots: 6, backlogMs: queueMs(6, 6, 60)}), 10);
});

test('a crowd of refused callers comes back over a time, not before there is room', t => {
  const random = seededRandom(3);
  const crowd = 60;
  const times = Array.from({length: crowd}, () =>
    computeRetryMs({roomMs: 1_000, leftMs: 6_000, crowd}, random()),
  ).sort((a, b) => a - b);
  t.true(times[0] >= 1_000);
  const perTenth = (from: number) =>
    times.filter(at => at >= from && at < from + 100).length;
  for (let from = 1_000; from < 1_500; from += 100)
    t.true(perTenth(from) <= crowd / 2, `${perTenth(from)} at ${from}`);
  t.is(computeRetryMs({roomMs: 1_000, leftMs: 6_000, crowd: 1}, 0.9), 1_000);
});

test('without known room a caller comes back late in the time that it follows', t => {
  for (const draw of [0, 0.5, 0.999]) {
    const retryMs = computeRetryMs({leftMs: 6_000, crowd: 1}, draw);
    t.true(retryMs >= 1_000 && retryMs <= 2_000);
  }
});
