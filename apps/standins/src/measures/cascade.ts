/** Cost at the quality target, by the pure decision on made-up versions. */
import {
  choosePath,
  NO_RATINGS,
  ratingBin,
  type CascadeOption,
  type CascadePath,
} from '@parsleyarch/policy/cascade';
import {round, seeded, type Figures} from './figures.js';

const REQUESTS = 12_000;
const WARM_UP = 3_000;
/** Requests until a rating comes, and share of answers that are rated. */
const RATING_LAG = 60;
const RATED_SHARE = 0.3;
const DEADLINE_MS = 30_000;
const CHECK = {cost: 1, ms: 100};
const TOLERANCE = 0.01;

/** A version as it truly is. */
interface TrueVersion {
  readonly name: string;
  readonly cost: number;
  readonly declared: number;
  /** Draws the true quality of one answer. */
  readonly draw: (random: () => number) => number;
}

/** A task class with its target. */
interface TaskClass {
  readonly name: string;
  readonly target: number;
  readonly versions: readonly TrueVersion[];
}

const clamp = (value: number) => Math.min(0.999, Math.max(0, value));

/** Good answers lie near `good`, a share of bad ones near 0.25. */
function mixture(good: number, badShare: number) {
  return (random: () => number) => {
    const centre = random() < badShare ? 0.25 : good;
    return clamp(centre + (random() - 0.5) * 0.2);
  };
}

function makeClasses(random: () => number): TaskClass[] {
  const version = (
    name: string,
    cost: number,
    good: number,
    bad: number,
  ): TrueVersion => {
    const mean = good * (1 - bad) + 0.25 * bad;
    const declared = clamp(mean + (random() - 0.5) * 0.2);
    return {name, cost, declared, draw: mixture(good, bad)};
  };
  const wobble = () => (random() - 0.5) * 0.06;
  return [
    {
      name: 'status',
      target: 0.8,
      versions: [
        version('small', 2, 0.9 + wobble(), 0.04),
        version('medium', 8, 0.92 + wobble(), 0.02),
        version('large', 30, 0.93 + wobble(), 0.01),
      ],
    },
    {
      name: 'plan',
      target: 0.8,
      versions: [
        version('small', 2, 0.88 + wobble(), 0.45),
        version('medium', 8, 0.88 + wobble(), 0.2),
        version('large', 30, 0.93 + wobble(), 0.03),
      ],
    },
    {
      name: 'translation',
      target: 0.75,
      versions: [
        version('small', 2, 0.7 + wobble(), 0.2),
        version('medium', 8, 0.86 + wobble(), 0.08),
        version('large', 30, 0.92 + wobble(), 0.02),
      ],
    },
  ];
}

type Ratings = Map<string, number[]>;

function options(
  task: TaskClass,
  ratings: (version: string) => readonly number[],
): CascadeOption[] {
  return task.versions.map(({name, cost, declared}) => ({
    version: name,
    cost,
    answerMs: 1_000,
    prior: declared,
    ratings: ratings(name),
  }));
}

interface Outcome {
  cost: number;
  quality: number;
  /** Version that gave the answer. */
  version: string;
  /** Ratings that the path itself brought about. */
  readonly rated: Array<[string, number]>;
}

function follow(
  task: TaskClass,
  path: CascadePath,
  random: () => number,
): Outcome {
  const find = (name: string) => task.versions.find(v => v.name === name)!;
  const first = find(path.first);
  const quality = first.draw(random);
  const outcome: Outcome = {
    cost: first.cost,
    quality,
    version: first.name,
    rated: [],
  };
  if (!path.second) return outcome;
  outcome.cost += CHECK.cost;
  outcome.rated.push([first.name, quality]);
  if (quality >= path.threshold) return outcome;
  const second = find(path.second);
  outcome.cost += second.cost;
  outcome.quality = second.draw(random);
  outcome.version = second.name;
  return outcome;
}

type Plan = (task: TaskClass) => CascadePath;

const single = (first: string): CascadePath => ({
  first,
  threshold: 0,
  cost: 0,
  quality: 0,
  qualityUpperBound: 0,
  explored: false,
});

/** Knows the distribution of every version's quality. */
function makeOracle(classes: readonly TaskClass[], random: () => number): Plan {
  const known = new Map<string, CascadePath>();
  for (const task of classes) {
    const truth = new Map<string, number[]>();
    for (const version of task.versions) {
      const bins = [...NO_RATINGS];
      for (let draw = 0; draw < 40_000; draw += 1)
        bins[ratingBin(version.draw(random))] += 1;
      truth.set(version.name, bins);
    }
    const need = {target: task.target, deadlineMs: DEADLINE_MS, check: CHECK};
    const all = options(task, name => truth.get(name)!);
    known.set(task.name, choosePath(all, need, () => 1)!.path);
  }
  return task => known.get(task.name)!;
}

/** The product's decision, with ratings that come late and in part. */
function makeLearner(random: () => number) {
  const ratings: Ratings = new Map();
  const late: Array<{due: number; key: string; rating: number}> = [];
  const key = (task: TaskClass, version: string) => `${task.name}/${version}`;
  const enter = (at: string, rating: number) => {
    const bins = ratings.get(at) ?? [...NO_RATINGS];
    bins[ratingBin(rating)] += 1;
    ratings.set(at, bins);
  };
  return {
    plan(task: TaskClass, request: number): CascadePath {
      while (late.length > 0 && late[0].due <= request) {
        const {key: at, rating} = late.shift()!;
        enter(at, rating);
      }
      const need = {target: task.target, deadlineMs: DEADLINE_MS, check: CHECK};
      const all = options(
        task,
        name => ratings.get(key(task, name)) ?? NO_RATINGS,
      );
      return choosePath(all, need, random)!.path;
    },
    learn(task: TaskClass, path: CascadePath, outcome: Outcome, at: number) {
      for (const [version, rating] of outcome.rated)
        enter(key(task, version), rating);
      const checked = path.second && outcome.version === path.first;
      if (checked || random() >= RATED_SHARE) return;
      late.push({
        due: at + RATING_LAG,
        key: key(task, outcome.version),
        rating: outcome.quality,
      });
    },
  };
}

interface Sum {
  cost: number;
  served: number;
  readonly quality: Map<string, {sum: number; count: number}>;
}

function enterOutcome(sum: Sum, task: TaskClass, outcome: Outcome): void {
  sum.cost += outcome.cost;
  sum.served += 1;
  const known = sum.quality.get(task.name) ?? {sum: 0, count: 0};
  known.sum += outcome.quality;
  known.count += 1;
  sum.quality.set(task.name, known);
}

/** Points by which the worst class misses its target, at least 0. */
function worstMiss(sum: Sum, classes: readonly TaskClass[]): number {
  let worst = 0;
  for (const task of classes) {
    const known = sum.quality.get(task.name);
    if (!known) continue;
    worst = Math.max(worst, task.target - known.sum / known.count);
  }
  return worst;
}

/** Runs all policies on the same requests. */
export async function measureCascade(seed: number): Promise<Figures> {
  const classes = makeClasses(seeded(seed));
  const oracle = makeOracle(classes, seeded(seed + 1));
  const fixed: Plan = task =>
    single(task.target >= 0.8 && task.name === 'plan' ? 'large' : 'medium');
  const plans: Record<string, Plan> = {
    dearest: () => single('large'),
    cheapest: () => single('small'),
    fixed,
    oracle,
  };
  const sums: Record<string, Sum> = {};
  const sumOf = (name: string) =>
    (sums[name] ??= {cost: 0, served: 0, quality: new Map()});
  const learner = makeLearner(seeded(seed + 2));
  const pick = seeded(seed + 3);
  const draws = seeded(seed + 4);
  for (let request = 0; request < REQUESTS; request += 1) {
    const task = classes[Math.floor(pick() * classes.length)];
    const path = learner.plan(task, request);
    const outcome = follow(task, path, draws);
    learner.learn(task, path, outcome, request);
    if (request < WARM_UP) continue;
    enterOutcome(sumOf('parsleyarch'), task, outcome);
    for (const [name, plan] of Object.entries(plans))
      enterOutcome(sumOf(name), task, follow(task, plan(task), draws));
  }
  const name = ({first, second, threshold}: CascadePath) =>
    second ? `${first} > ${second} under ${threshold}` : first;
  const paths = Object.fromEntries(
    classes.map(task => [
      task.name,
      `${name(learner.plan(task, REQUESTS))}; oracle: ${name(oracle(task))}`,
    ]),
  );
  const figures = Object.fromEntries(
    Object.entries(sums).map(([policy, sum]) => [
      policy,
      {
        costToOracle: round(sum.cost / sums['oracle'].cost),
        worstMissPoints: round(worstMiss(sum, classes) * 100, 2),
      },
    ]),
  );
  const ours = sums['parsleyarch'];
  const dear = ours.cost / sums['oracle'].cost > 1.1;
  const missed = worstMiss(ours, classes) > TOLERANCE;
  return {violations: (dear ? 1 : 0) + (missed ? 1 : 0), ...figures, paths};
}
