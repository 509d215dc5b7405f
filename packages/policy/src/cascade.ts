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
  readonly explored: boolean;
}

/** Ratings that a declared quality counts for. */
const PRIOR_RATINGS = 6;
/** Standard errors below the mean at which quality is estimated. */
const CAUTION = 1;
/** Share of requests that try a version which might turn out cheaper. */
export const EXPLORE_SHARE = 0.02;

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
  const error = Math.sqrt((pass.chance * failed + 0.01) / (seen + 1));
  const quality =
    pass.chance * pass.quality + failed * last.quality - CAUTION * error * 0.1;
  return {
    first: cheap.version,
    second: dear.version,
    threshold,
    cost: cheap.cost + checkCost + failed * dear.cost,
    quality,
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

/**
 * A checked trial of a version that is too little known and, by its upper
 * estimate, might meet the target more cheaply.
 */
function explore(
  options: readonly CascadeOption[],
  need: CascadeNeed,
  best: CascadePath,
): CascadePath | undefined {
  for (const option of [...options].sort((a, b) => a.cost - b.cost)) {
    if (option.cost >= best.cost || option.answerMs > need.deadlineMs) continue;
    const {mean, error} = estimateQuality(option);
    if (mean + 2 * error < need.target) continue;
    const checked = need.check
      ? {second: best.first, threshold: need.target}
      : {threshold: 0};
    return {...best, ...checked, first: option.version, explored: true};
  }
  return undefined;
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
  if (random() < EXPLORE_SHARE) {
    const trial = explore(options, need, best);
    if (trial) return {path: trial, meets: true};
  }
  return {path: best, meets: true};
}
