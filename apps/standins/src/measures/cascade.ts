/**
 * Cost at the quality target: runs the cascade decision on simulated versions
 * and compares it with baseline policies.
 */
import {
  choosePath,
  NO_RATINGS,
  ratingBin,
  type CascadeOption,
  type CascadePath,
} from '@parsleyarch/policy/cascade';
import {round, seededRandom, type MeasurementResult} from './figures.js';

const REQUEST_COUNT = 12_000;
const WARM_UP_REQUEST_COUNT = 3_000;
/** Requests until a rating arrives, and ratio of answers that are rated. */
const RATING_DELAY_REQUEST_COUNT = 60;
const RATED_RATIO = 0.3;
const DEADLINE_MS = 30_000;
const CHECK_COST = {cost: 1, ms: 100};
const MAX_QUALITY_SHORTFALL_RATIO = 0.01;

/** A version with its real quality distribution. */
interface SimulatedVersion {
  readonly name: string;
  readonly cost: number;
  readonly declaredQuality: number;
  /** Samples the real quality of one answer. */
  readonly drawQuality: (random: () => number) => number;
}

interface TaskClass {
  readonly name: string;
  readonly target: number;
  readonly versions: readonly SimulatedVersion[];
}

const clamp = (value: number) => Math.min(0.999, Math.max(0, value));

/** Good answers are near `goodQuality`; a ratio of bad ones is near 0.25. */
function createQualitySampler(goodQuality: number, badRatio: number) {
  return (random: () => number) => {
    const mean = random() < badRatio ? 0.25 : goodQuality;
    return clamp(mean + (random() - 0.5) * 0.2);
  };
}

function createTaskClasses(random: () => number): TaskClass[] {
  const version = (
    name: string,
    cost: number,
    goodQuality: number,
    badRatio: number,
  ): SimulatedVersion => {
    const mean = goodQuality * (1 - badRatio) + 0.25 * badRatio;
    const declaredQuality = clamp(mean + (random() - 0.5) * 0.2);
    return {
      name,
      cost,
      declaredQuality,
      drawQuality: createQualitySampler(goodQuality, badRatio),
    };
  };
  const jitter = () => (random() - 0.5) * 0.06;
  return [
    {
      name: 'status',
      target: 0.8,
      versions: [
        version('small', 2, 0.9 + jitter(), 0.04),
        version('medium', 8, 0.92 + jitter(), 0.02),
        version('large', 30, 0.93 + jitter(), 0.01),
      ],
    },
    {
      name: 'plan',
      target: 0.8,
      versions: [
        version('small', 2, 0.88 + jitter(), 0.45),
        version('medium', 8, 0.88 + jitter(), 0.2),
        version('large', 30, 0.93 + jitter(), 0.03),
      ],
    },
    {
      name: 'translation',
      target: 0.75,
      versions: [
        version('small', 2, 0.7 + jitter(), 0.2),
        version('medium', 8, 0.86 + jitter(), 0.08),
        version('large', 30, 0.92 + jitter(), 0.02),
      ],
    },
  ];
}

type Ratings = Map<string, number[]>;

function toCascadeOptions(
  task: TaskClass,
  ratings: (version: string) => readonly number[],
): CascadeOption[] {
  return task.versions.map(({name, cost, declaredQuality}) => ({
    version: name,
    cost,
    answerMs: 1_000,
    prior: declaredQuality,
    ratings: ratings(name),
  }));
}

interface Outcome {
  cost: number;
  quality: number;
  /** Version whose answer is returned. */
  version: string;
  /** Ratings from the quality checks of the path. */
  readonly checkRatings: Array<[string, number]>;
}

function runPath(
  task: TaskClass,
  path: CascadePath,
  random: () => number,
): Outcome {
  const find = (name: string) => task.versions.find(v => v.name === name)!;
  const first = find(path.first);
  const quality = first.drawQuality(random);
  const outcome: Outcome = {
    cost: first.cost,
    quality,
    version: first.name,
    checkRatings: [],
  };
  if (!path.second) return outcome;
  outcome.cost += CHECK_COST.cost;
  outcome.checkRatings.push([first.name, quality]);
  if (quality >= path.threshold) return outcome;
  const second = find(path.second);
  outcome.cost += second.cost;
  outcome.quality = second.drawQuality(random);
  outcome.version = second.name;
  return outcome;
}

type Policy = (task: TaskClass) => CascadePath;

const singlePath = (first: string): CascadePath => ({
  first,
  threshold: 0,
  cost: 0,
  quality: 0,
  qualityUpperBound: 0,
  explored: false,
});

/** Baseline that knows the quality distribution of every version. */
function createOracle(
  classes: readonly TaskClass[],
  random: () => number,
): Policy {
  const pathByTask = new Map<string, CascadePath>();
  for (const task of classes) {
    const ratingsByVersion = new Map<string, number[]>();
    for (const version of task.versions) {
      const bins = [...NO_RATINGS];
      for (let draw = 0; draw < 40_000; draw += 1)
        bins[ratingBin(version.drawQuality(random))] += 1;
      ratingsByVersion.set(version.name, bins);
    }
    const requirement = {
      target: task.target,
      deadlineMs: DEADLINE_MS,
      check: CHECK_COST,
    };
    const candidates = toCascadeOptions(task, name =>
      ratingsByVersion.get(name)!,
    );
    // A draw of 1 disables exploration.
    pathByTask.set(
      task.name,
      choosePath(candidates, requirement, () => 1)!.path,
    );
  }
  return task => pathByTask.get(task.name)!;
}

/**
 * The cascade decision under test; only some answers are rated, and their
 * ratings arrive with a delay.
 */
function createLearningPolicy(random: () => number) {
  const ratings: Ratings = new Map();
  const delayedRatings: Array<{
    dueAtRequest: number;
    key: string;
    rating: number;
  }> = [];
  const ratingKey = (task: TaskClass, version: string) =>
    `${task.name}/${version}`;
  const addRating = (key: string, rating: number) => {
    const bins = ratings.get(key) ?? [...NO_RATINGS];
    bins[ratingBin(rating)] += 1;
    ratings.set(key, bins);
  };
  return {
    choose(task: TaskClass, request: number): CascadePath {
      while (
        delayedRatings.length > 0 &&
        delayedRatings[0].dueAtRequest <= request
      ) {
        const {key, rating} = delayedRatings.shift()!;
        addRating(key, rating);
      }
      const requirement = {
        target: task.target,
        deadlineMs: DEADLINE_MS,
        check: CHECK_COST,
      };
      const candidates = toCascadeOptions(
        task,
        name => ratings.get(ratingKey(task, name)) ?? NO_RATINGS,
      );
      return choosePath(candidates, requirement, random)!.path;
    },
    recordOutcome(
      task: TaskClass,
      path: CascadePath,
      outcome: Outcome,
      atRequest: number,
    ) {
      for (const [version, rating] of outcome.checkRatings)
        addRating(ratingKey(task, version), rating);
      // The quality check of the path has rated this answer already.
      const checked = path.second && outcome.version === path.first;
      if (checked || random() >= RATED_RATIO) return;
      delayedRatings.push({
        dueAtRequest: atRequest + RATING_DELAY_REQUEST_COUNT,
        key: ratingKey(task, outcome.version),
        rating: outcome.quality,
      });
    },
  };
}

interface PolicyTotals {
  cost: number;
  requestCount: number;
  readonly quality: Map<string, {sum: number; count: number}>;
}

function addOutcome(
  totals: PolicyTotals,
  task: TaskClass,
  outcome: Outcome,
): void {
  totals.cost += outcome.cost;
  totals.requestCount += 1;
  const classQuality = totals.quality.get(task.name) ?? {sum: 0, count: 0};
  classQuality.sum += outcome.quality;
  classQuality.count += 1;
  totals.quality.set(task.name, classQuality);
}

/** Largest shortfall of a task class from its quality target, at least 0. */
function findWorstShortfall(
  totals: PolicyTotals,
  classes: readonly TaskClass[],
): number {
  let worst = 0;
  for (const task of classes) {
    const classQuality = totals.quality.get(task.name);
    if (!classQuality) continue;
    worst = Math.max(
      worst,
      task.target - classQuality.sum / classQuality.count,
    );
  }
  return worst;
}

/** Runs all policies on the same sequence of requests. */
export async function measureCascade(seed: number): Promise<MeasurementResult> {
  const classes = createTaskClasses(seededRandom(seed));
  const oracle = createOracle(classes, seededRandom(seed + 1));
  const fixed: Policy = task =>
    singlePath(task.target >= 0.8 && task.name === 'plan' ? 'large' : 'medium');
  const policies: Record<string, Policy> = {
    dearest: () => singlePath('large'),
    cheapest: () => singlePath('small'),
    fixed,
    oracle,
  };
  const totalsByPolicy: Record<string, PolicyTotals> = {};
  const totalsOf = (name: string) =>
    (totalsByPolicy[name] ??= {cost: 0, requestCount: 0, quality: new Map()});
  const learningPolicy = createLearningPolicy(seededRandom(seed + 2));
  const taskRandom = seededRandom(seed + 3);
  const qualityRandom = seededRandom(seed + 4);
  for (let request = 0; request < REQUEST_COUNT; request += 1) {
    const task = classes[Math.floor(taskRandom() * classes.length)];
    const path = learningPolicy.choose(task, request);
    const outcome = runPath(task, path, qualityRandom);
    learningPolicy.recordOutcome(task, path, outcome, request);
    if (request < WARM_UP_REQUEST_COUNT) continue;
    addOutcome(totalsOf('parsleyarch'), task, outcome);
    for (const [name, policy] of Object.entries(policies))
      addOutcome(
        totalsOf(name),
        task,
        runPath(task, policy(task), qualityRandom),
      );
  }
  const formatPath = ({first, second, threshold}: CascadePath) =>
    second ? `${first} > ${second} under ${threshold}` : first;
  const paths = Object.fromEntries(
    classes.map(task => [
      task.name,
      `${formatPath(learningPolicy.choose(task, REQUEST_COUNT))}; oracle: ${formatPath(oracle(task))}`,
    ]),
  );
  const figures = Object.fromEntries(
    Object.entries(totalsByPolicy).map(([policy, totals]) => [
      policy,
      {
        costToOracle: round(totals.cost / totalsByPolicy['oracle'].cost),
        worstMissPoints: round(findWorstShortfall(totals, classes) * 100, 2),
      },
    ]),
  );
  const learnedTotals = totalsByPolicy['parsleyarch'];
  const tooExpensive = learnedTotals.cost / totalsByPolicy['oracle'].cost > 1.1;
  const belowTarget =
    findWorstShortfall(learnedTotals, classes) > MAX_QUALITY_SHORTFALL_RATIO;
  return {
    violations: (tooExpensive ? 1 : 0) + (belowTarget ? 1 : 0),
    ...figures,
    paths,
  };
}
