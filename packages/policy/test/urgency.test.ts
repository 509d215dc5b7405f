/** Tests of the urgency of sends, with drawn arrivals at an engine that admits by it. */
import {
  classOfPriority,
  PRIORITY_CLASS_COUNT,
} from '@parsleyarch/policy/priorities';
import {
  chooseUrgency,
  beginSend,
  endSend,
  URGENCY_LEVEL_COUNT,
  type LevelRecords,
  type UrgencyRequest,
} from '@parsleyarch/policy/urgency';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

const REQUEST: UrgencyRequest = {
  priorityClass: {rank: 1, count: 4},
  routeClass: {rank: 0, count: 1},
  hasBegun: false,
  isSmallest: false,
  untilObjectiveMs: 1_000,
  longestObjectiveMs: 3_000,
  untilDeadlineMs: 5_000,
  aloneMs: 100,
};

/** A kind of request; times in milliseconds. */
interface Kind {
  readonly priorityClass: number;
  readonly perSecond: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Time of the engine for the smallest and for the largest model. */
  readonly workMs: readonly [number, number];
  /** Factor on the arrivals from 5 s to 9 s. */
  readonly burst?: number;
}

interface Job {
  readonly kind: Kind;
  readonly arrivedAt: number;
  readonly step: 0 | 1;
  readonly sentAt: number;
  readonly level: number;
}

interface Tally {
  asked: number;
  late: number;
  missed: number;
  worstMs: number;
}

const LARGEST_MODEL_SHARE = 0.55;
const LENGTH_MS = 20_000;

const deadlineOf = ({kind, arrivedAt}: Job) => arrivedAt + kind.deadlineMs;

function drawArrivals(kinds: readonly Kind[], random: () => number) {
  const arrivals: {kind: Kind; at: number}[] = [];
  for (const kind of kinds) {
    for (let at = 0; at < LENGTH_MS;) {
      const factor = at > 5_000 && at < 9_000 ? (kind.burst ?? 1) : 1;
      at -= (Math.log(1 - random()) * 1_000) / (kind.perSecond * factor);
      arrivals.push({kind, at});
    }
  }
  return arrivals.sort((a, b) => a.at - b.at);
}

/** Plays requests at one engine that runs them one by one, most urgent first. */
function play(
  kinds: readonly Kind[],
  seed: number,
  levelOf: typeof chooseUrgency = chooseUrgency,
): Map<Kind, Tally> {
  const random = seededRandom(seed);
  const arrivals = drawArrivals(kinds, random);
  const records: LevelRecords = new Map();
  const queue: Job[] = [];
  const classCount = new Set(kinds.map(kind => kind.priorityClass)).size;
  const longestObjectiveMs = Math.max(...kinds.map(kind => kind.objectiveMs));
  const tallies = new Map<Kind, Tally>();
  for (const kind of kinds)
    tallies.set(kind, {asked: 0, late: 0, missed: 0, worstMs: 0});
  const send = (kind: Kind, arrivedAt: number, step: 0 | 1, now: number) => {
    const request = {
      priorityClass: {rank: kind.priorityClass, count: classCount},
      routeClass: {rank: 0, count: 1},
      hasBegun: false,
      isSmallest: step === 0,
      untilObjectiveMs: arrivedAt + kind.objectiveMs - now,
      longestObjectiveMs,
      untilDeadlineMs: arrivedAt + kind.deadlineMs - now,
      aloneMs: kind.workMs[step],
    };
    const level = levelOf(request, records, now, random());
    beginSend(records, level, now);
    queue.push({kind, arrivedAt, step, sentAt: now, level});
  };
  const end = ({kind, arrivedAt}: Job, now: number) => {
    const tally = tallies.get(kind)!;
    const tookMs = now - arrivedAt;
    tally.asked += 1;
    tally.worstMs = Math.max(tally.worstMs, tookMs);
    if (tookMs > kind.objectiveMs) tally.late += 1;
    if (tookMs > kind.deadlineMs) tally.missed += 1;
  };
  let now = 0;
  while (arrivals.length > 0 || queue.length > 0) {
    if (queue.length === 0) now = Math.max(now, arrivals[0].at);
    while (arrivals.length > 0 && arrivals[0].at <= now) {
      const {kind, at} = arrivals.shift()!;
      send(kind, at, 0, at);
    }
    queue.sort((a, b) => a.level - b.level || a.sentAt - b.sentAt);
    for (const job of queue.filter(waiting => deadlineOf(waiting) <= now)) {
      queue.splice(queue.indexOf(job), 1);
      endSend(records, job.level, job.sentAt, now);
      end(job, now);
    }
    const job = queue.shift();
    if (!job) continue;
    now += job.kind.workMs[job.step];
    endSend(records, job.level, job.sentAt, now);
    const goesOn = job.step === 0 && random() < LARGEST_MODEL_SHARE;
    if (goesOn) send(job.kind, job.arrivedAt, 1, now);
    else end(job, now);
  }
  return tallies;
}

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Late and missed shares of each kind over all seeds. */
function playAll(kinds: readonly Kind[]): Tally[] {
  const sums = kinds.map(() => ({asked: 0, late: 0, missed: 0, worstMs: 0}));
  for (const seed of SEEDS) {
    const tallies = play(kinds, seed);
    for (const [index, kind] of kinds.entries()) {
      const {asked, late, missed, worstMs} = tallies.get(kind)!;
      sums[index].asked += asked;
      sums[index].late += late;
      sums[index].missed += missed;
      sums[index].worstMs = Math.max(sums[index].worstMs, worstMs);
    }
  }
  return sums;
}

const DRAFT: Kind = {
  priorityClass: 0,
  perSecond: 0.8,
  objectiveMs: 1_000,
  deadlineMs: 8_000,
  workMs: [20, 50],
};
const REVIEW: Kind = {
  priorityClass: 1,
  perSecond: 2,
  objectiveMs: 1_500,
  deadlineMs: 6_000,
  workMs: [30, 280],
};
const QUERY: Kind = {
  priorityClass: 2,
  perSecond: 3,
  objectiveMs: 3_000,
  deadlineMs: 5_000,
  workMs: [20, 90],
  burst: 16,
};

test('a burst of short sends of the least urgent kind delays no more urgent kind', t => {
  const [draft, review] = playAll([DRAFT, REVIEW, QUERY]);
  t.true(draft.late / draft.asked <= 0.01, JSON.stringify(draft));
  t.true(review.late / review.asked <= 0.05, JSON.stringify(review));
});

test('no kind starves under lasting overload by a more urgent one', t => {
  const flood = {...DRAFT, perSecond: 26};
  const rare = [REVIEW, QUERY].map(kind => ({...kind, perSecond: 1, burst: 1}));
  const [draft, ...others] = playAll([flood, ...rare]);
  const servedShare = ({asked, missed}: Tally) => 1 - missed / asked;
  for (const tally of others)
    t.true(servedShare(tally) >= servedShare(draft) / 4, JSON.stringify(tally));
});

test('an answer that can no longer be in time waits behind those that can', t => {
  const {send, late} = {
    send: {...REQUEST, priorityClass: {rank: 3, count: 4}},
    late: {
      ...REQUEST,
      priorityClass: {rank: 0, count: 4},
      untilObjectiveMs: -1,
    },
  };
  t.true(
    chooseUrgency(send, new Map(), 0, 0) < chooseUrgency(late, new Map(), 0, 0),
  );
});

test('levels stay in range for any request', t => {
  const any = fc.double({noNaN: true, min: -1e9, max: 1e9});
  const rank = fc
    .record({rank: fc.nat(3), count: fc.integer({min: 1, max: 4})})
    .filter(({rank, count}) => rank < count);
  const request = fc.record({
    priorityClass: rank,
    routeClass: rank,
    hasBegun: fc.boolean(),
    isSmallest: fc.boolean(),
    untilObjectiveMs: any,
    longestObjectiveMs: any,
    untilDeadlineMs: any,
    aloneMs: any,
  });
  const draws = fc.double({min: 0, max: 0.99, noNaN: true});
  fc.assert(
    fc.property(request, draws, (send, draw) => {
      const level = chooseUrgency(send, new Map(), 0, draw);
      t.true(Number.isInteger(level) && level >= 0);
      t.true(level < URGENCY_LEVEL_COUNT);
    }),
    {seed: 1},
  );
});

test('within a class a more urgent route, less time and the smallest model go first', t => {
  const base = {
    ...REQUEST,
    priorityClass: {rank: 0, count: 1},
    routeClass: {rank: 1, count: 3},
  };
  const levelOf = (changes: Partial<UrgencyRequest>) =>
    chooseUrgency({...base, ...changes}, new Map(), 0, 0);
  t.true(levelOf({routeClass: {rank: 0, count: 3}}) < levelOf({}));
  t.true(levelOf({untilObjectiveMs: 500}) < levelOf({}));
  t.true(levelOf({isSmallest: true}) < levelOf({}));
});

test('of equal customers, a burst of a kind with much time delays none with less', t => {
  const kinds = [DRAFT, REVIEW, QUERY].map(kind => ({
    ...kind,
    priorityClass: 0,
  }));
  const [draft, review] = playAll(kinds);
  t.true(draft.late / draft.asked <= 0.01, JSON.stringify(draft));
  t.true(review.late / review.asked <= 0.05, JSON.stringify(review));
});

test('classes keep the order of priorities, whatever their numbers', t => {
  t.deepEqual(
    [-7, 0, 5].map(priority => classOfPriority(priority, [-7, 0, 5])),
    [0, 1, 2],
  );
  fc.assert(
    fc.property(fc.uniqueArray(fc.integer(), {minLength: 1}), declared => {
      const sorted = [...declared].sort((a, b) => a - b);
      const classes = sorted.map(priority => classOfPriority(priority, sorted));
      t.deepEqual(classes, [...classes].sort());
      t.is(classes[0], 0);
      t.true(classes.at(-1)! < PRIORITY_CLASS_COUNT);
    }),
    {seed: 1},
  );
});
