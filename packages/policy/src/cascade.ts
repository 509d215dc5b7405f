/**
 * Choice of the cheapest path whose predicted quality meets the target: one
 * version, or a cheap one first and a dear one when a check of the first
 * answer fails. Pure functions only.
 */

/** Bins of the ratings histogram; a rating lies in [0, 1]. */
export const RATING_BINS = 20;

/** Ratings of one version in one task class. */
export type RatingCounts = readonly number[];

/** No ratings yet. */
export const NO_RATINGS: RatingCounts = Array<number>(RATING_BINS).fill(0);

/** The bin of a rating. */
export function ratingBin(rating: number): number {
  return Math.min(RATING_BINS - 1, Math.floor(rating * RATING_BINS));
}

/** A version that a request may use. */
export interface CascadeOption {
  readonly version: string;
  /** Expected cost of an answer, micro-units of currency. */
  readonly cost: number;
  /** Expected milliseconds to the last token. */
  readonly answerMs: number;
  /** Quality declared by operators. */
  readonly prior: number;
  readonly ratings: RatingCounts;
}

/** What the request asks for. */
export interface CascadeNeed {
  /** Mean quality that the task class must reach. */
  readonly target: number;
  readonly deadlineMs: number;
  /** Cost and time of one check by the rating service; absent without one. */
  readonly check?: {readonly cost: number; readonly ms: number};
}

/** A path with its prediction. */
export interface CascadePath {
  readonly first: string;
  /** Version that runs when the check fails. */
  readonly second?: string;
  /** Rating below which the check fails. */
  readonly threshold: number;
  /** Expected cost, micro-units of currency. */
  readonly cost: number;
  /** Lower estimate of the mean quality. */
  readonly quality: number;
  /** Upper estimate of the mean quality. */
  readonly hope: number;
  /** Whether the path is tried in order to learn. */
  readonly explored: boolean;
}

/** Ratings that a declared quality counts for. */
const PRIOR_RATINGS = 6;
/** Standard errors below the mean at which quality is estimated. */
const CAUTION = 0.3;
/** Standard errors above the mean up to which a path is worth learning of. */
const HOPE = 1;
/** Ratings below which a version is too little known to be judged. */
const KNOWN_RATINGS = 80;
/** Share of requests spent on learning of paths that may be cheaper. */
const EXPLORE_SHARE = 0.08;
/** Share of requests that try a known version again, in case it has changed. */
const REVISIT_SHARE = 0.002;

function count(ratings: RatingCounts): number {
  return ratings.reduce((total, bin) => total + bin, 0);
}

const binValue = (bin: number) => (bin + 0.5) / RATING_BINS;

/** Mean quality and its standard error, the declared quality included. */
export function estimateQuality(option: CascadeOption): {
  mean: number;
  error: number;
} {
  const seen = count(option.ratings);
  let sum = option.prior * PRIOR_RATINGS;
  let squares = 0;
  for (const [bin, ratings] of option.ratings.entries())
    sum += ratings * binValue(bin);
  const trials = seen + PRIOR_RATINGS;
  const mean = sum / trials;
  for (const [bin, ratings] of option.ratings.entries())
    squares += ratings * (binValue(bin) - mean) ** 2;
  const spread = (squares + PRIOR_RATINGS * 0.04) / trials;
  return {mean, error: Math.sqrt(spread / trials)};
}

/** Chance to pass the check, and mean rating of the answers that do. */
function passAt(option: CascadeOption, threshold: number) {
  const seen = count(option.ratings);
  let passed = 0;
  let sum = 0;
  for (const [bin, ratings] of option.ratings.entries()) {
    if (binValue(bin) < threshold) continue;
    passed += ratings;
    sum += ratings * binValue(bin);
  }
  if (passed === 0) return {chance: 0, quality: 0};
  return {chance: passed / seen, quality: sum / passed};
}

function singlePath(option: CascadeOption): CascadePath {
  const {mean, error} = estimateQuality(option);
  return {
    first: option.version,
    threshold: 0,
    cost: option.cost,
    quality: mean - CAUTION * error,
    hope: mean + HOPE * error,
    explored: false,
  };
}

function cascadePath(
  cheap: CascadeOption,
  dear: CascadeOption,
  threshold: number,
  checkCost: number,
): CascadePath {
  const pass = passAt(cheap, threshold);
  const last = singlePath(dear);
  const failed = 1 - pass.chance;
  const seen = count(cheap.ratings);
  // What an error in the share of passes does to the mean quality.
  const share = Math.sqrt((pass.chance * failed + 0.01) / (seen + 1));
  const swing = share * Math.abs(pass.quality - last.quality);
  const passed = pass.chance * pass.quality;
  return {
    first: cheap.version,
    second: dear.version,
    threshold,
    cost: cheap.cost + checkCost + failed * dear.cost,
    quality: passed + failed * last.quality - CAUTION * swing,
    hope: passed + failed * last.hope + HOPE * swing,
    explored: false,
  };
}

/** Ratings of the cheap version below which no cascade is predicted from them. */
const MIN_CASCADE_RATINGS = 20;
const THRESHOLDS = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9];

function listPaths(
  options: readonly CascadeOption[],
  need: CascadeNeed,
): CascadePath[] {
  const paths = options
    .filter(option => option.answerMs <= need.deadlineMs)
    .map(singlePath);
  const {check} = need;
  if (!check) return paths;
  for (const cheap of options) {
    if (count(cheap.ratings) < MIN_CASCADE_RATINGS) continue;
    for (const dear of options) {
      if (dear.cost <= cheap.cost) continue;
      const ms = cheap.answerMs + check.ms + dear.answerMs;
      if (ms > need.deadlineMs) continue;
      for (const threshold of THRESHOLDS)
        paths.push(cascadePath(cheap, dear, threshold, check.cost));
    }
  }
  return paths;
}

function leastKnown(
  options: readonly CascadeOption[],
  best: CascadePath,
): CascadeOption | undefined {
  let least: CascadeOption | undefined;
  for (const option of options) {
    if (option.cost >= best.cost || option.version === best.first) continue;
    if (least && count(option.ratings) >= count(least.ratings)) continue;
    least = option;
  }
  return least;
}

/** The version whose ratings might show that a cheaper path is good enough. */
function worthLearning(
  options: readonly CascadeOption[],
  paths: readonly CascadePath[],
  need: CascadeNeed,
  best: CascadePath,
): string | undefined {
  const least = leastKnown(options, best);
  if (least && count(least.ratings) < KNOWN_RATINGS) return least.version;
  let hopeful: CascadePath | undefined;
  for (const path of paths) {
    if (path.cost >= best.cost || path.hope < need.target) continue;
    if (!hopeful || path.cost < hopeful.cost) hopeful = path;
  }
  if (!hopeful) return undefined;
  const {first, second} = hopeful;
  const parts = options.filter(
    ({version}) => version === first || version === second,
  );
  parts.sort((a, b) => count(a.ratings) - count(b.ratings));
  return parts[0]?.version;
}

/**
 * A checked trial of a version. Its answer is given only if it passes the check
 * at the target, so a trial costs money, not quality.
 */
function explore(
  options: readonly CascadeOption[],
  paths: readonly CascadePath[],
  need: CascadeNeed,
  best: CascadePath,
  random: () => number,
): CascadePath | undefined {
  const draw = random();
  if (!need.check || draw >= EXPLORE_SHARE) return undefined;
  const revisit = draw < REVISIT_SHARE;
  const first = revisit
    ? leastKnown(options, best)?.version
    : worthLearning(options, paths, need, best);
  if (!first) return undefined;
  const second = best.second ?? best.first;
  return {...best, first, second, threshold: need.target, explored: true};
}

/**
 * Chooses a path. Without one that meets the target, the path of the best
 * predicted quality is returned with `meets` false.
 */
export function choosePath(
  options: readonly CascadeOption[],
  need: CascadeNeed,
  random: () => number,
): {path: CascadePath; meets: boolean} | undefined {
  const paths = listPaths(options, need);
  if (paths.length === 0) return undefined;
  const good = paths.filter(path => path.quality >= need.target);
  if (good.length === 0) {
    const path = paths.reduce((a, b) => (b.quality > a.quality ? b : a));
    return {path, meets: false};
  }
  const best = good.reduce((a, b) => (b.cost < a.cost ? b : a));
  const trial = explore(options, paths, need, best, random);
  return {path: trial ?? best, meets: true};
}
