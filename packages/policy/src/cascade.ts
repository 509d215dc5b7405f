/**
 * Choice of the cheapest path whose predicted quality meets the target. A path
 * is a single version, or a cascade: a cheap version first, and an expensive one
 * if the first answer fails a quality check. Pure functions only.
 */

/** Bins of the rating histogram; ratings are in [0, 1]. */
export const RATING_BIN_COUNT = 20;

/** Rating histogram of one version in one task class. */
export type RatingCounts = readonly number[];

export const NO_RATINGS: RatingCounts = Array<number>(RATING_BIN_COUNT).fill(0);

export function ratingBin(rating: number): number {
  return Math.min(RATING_BIN_COUNT - 1, Math.floor(rating * RATING_BIN_COUNT));
}

/** A version that the request is allowed to use. */
export interface CascadeOption {
  readonly version: string;
  /** Expected cost of an answer, micro-units of currency. */
  readonly cost: number;
  /** Expected time to the last token, milliseconds. */
  readonly answerMs: number;
  /** Quality declared by operators. */
  readonly prior: number;
  readonly ratings: RatingCounts;
}

/** Requirements of a request, and the check that is available. */
export interface CascadeRequirements {
  /** Mean quality that the task class must reach. */
  readonly target: number;
  readonly deadlineMs: number;
  /** Cost and time of one check; absent without a rating service. */
  readonly check?: {readonly cost: number; readonly ms: number};
}

/** A path with its predicted cost and quality. */
export interface CascadePath {
  readonly first: string;
  /** Version that runs if the check fails. */
  readonly second?: string;
  /** Rating below which the check fails. */
  readonly threshold: number;
  /** Expected cost, micro-units of currency. */
  readonly cost: number;
  /** Lower bound of the estimated mean quality. */
  readonly quality: number;
  /** Upper bound of the estimated mean quality. */
  readonly qualityUpperBound: number;
  /** Whether the path explores a version in order to collect ratings. */
  readonly explored: boolean;
}

/** Weight of the declared quality, as a number of ratings. */
const PRIOR_RATING_COUNT = 6;
/** Distance of the lower quality bound from the mean, in standard errors. */
const LOWER_BOUND_STANDARD_ERRORS = 0.3;
/** Distance of the upper bound, by which paths are explored, from the mean. */
const UPPER_BOUND_STANDARD_ERRORS = 1;
/** Ratings that a version needs for a reliable estimate of its quality. */
const MIN_KNOWN_RATING_COUNT = 80;
/** Share of requests that explore paths that may be cheaper. */
const EXPLORATION_RATIO = 0.08;
/** Share of requests that explore a known version, in case it has changed. */
const REVISIT_RATIO = 0.002;

function countRatings(ratings: RatingCounts): number {
  return ratings.reduce((total, bin) => total + bin, 0);
}

const binMidpoint = (bin: number) => (bin + 0.5) / RATING_BIN_COUNT;

/** Mean quality and its standard error; the declared quality is the prior. */
export function estimateQuality(option: CascadeOption): {
  mean: number;
  error: number;
} {
  const seen = countRatings(option.ratings);
  let sum = option.prior * PRIOR_RATING_COUNT;
  let squares = 0;
  for (const [bin, ratings] of option.ratings.entries())
    sum += ratings * binMidpoint(bin);
  const trials = seen + PRIOR_RATING_COUNT;
  const mean = sum / trials;
  for (const [bin, ratings] of option.ratings.entries())
    squares += ratings * (binMidpoint(bin) - mean) ** 2;
  // The declared quality counts as ratings with a variance of 0.04.
  const spread = (squares + PRIOR_RATING_COUNT * 0.04) / trials;
  return {mean, error: Math.sqrt(spread / trials)};
}

/** Estimated pass rate of the check, and mean rating of the passing answers. */
function estimatePass(option: CascadeOption, threshold: number) {
  const seen = countRatings(option.ratings);
  let passed = 0;
  let sum = 0;
  for (const [bin, ratings] of option.ratings.entries()) {
    if (binMidpoint(bin) < threshold) continue;
    passed += ratings;
    sum += ratings * binMidpoint(bin);
  }
  if (passed === 0) return {passRate: 0, quality: 0};
  return {passRate: passed / seen, quality: sum / passed};
}

function singlePath(option: CascadeOption): CascadePath {
  const {mean, error} = estimateQuality(option);
  return {
    first: option.version,
    threshold: 0,
    cost: option.cost,
    quality: mean - LOWER_BOUND_STANDARD_ERRORS * error,
    qualityUpperBound: mean + UPPER_BOUND_STANDARD_ERRORS * error,
    explored: false,
  };
}

function cascadePath(
  cheap: CascadeOption,
  expensive: CascadeOption,
  threshold: number,
  checkCost: number,
): CascadePath {
  const pass = estimatePass(cheap, threshold);
  const last = singlePath(expensive);
  const failProbability = 1 - pass.passRate;
  const seen = countRatings(cheap.ratings);
  // The 0.01 keeps the error above zero when all or none of the answers pass.
  const passRateError = Math.sqrt(
    (pass.passRate * failProbability + 0.01) / (seen + 1),
  );
  // Effect of the standard error of the pass rate on the mean quality.
  const qualityError = passRateError * Math.abs(pass.quality - last.quality);
  const passedQuality = pass.passRate * pass.quality;
  return {
    first: cheap.version,
    second: expensive.version,
    threshold,
    cost: cheap.cost + checkCost + failProbability * expensive.cost,
    quality:
      passedQuality +
      failProbability * last.quality -
      LOWER_BOUND_STANDARD_ERRORS * qualityError,
    qualityUpperBound:
      passedQuality +
      failProbability * last.qualityUpperBound +
      UPPER_BOUND_STANDARD_ERRORS * qualityError,
    explored: false,
  };
}

/** Ratings that a cheap version needs before cascades with it are predicted. */
const MIN_CASCADE_RATING_COUNT = 20;
const CHECK_THRESHOLDS = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9];

function listPaths(
  options: readonly CascadeOption[],
  requirements: CascadeRequirements,
): CascadePath[] {
  const paths = options
    .filter(option => option.answerMs <= requirements.deadlineMs)
    .map(singlePath);
  const {check} = requirements;
  if (!check) return paths;
  for (const cheap of options) {
    if (countRatings(cheap.ratings) < MIN_CASCADE_RATING_COUNT) continue;
    for (const expensive of options) {
      if (expensive.cost <= cheap.cost) continue;
      const ms = cheap.answerMs + check.ms + expensive.answerMs;
      if (ms > requirements.deadlineMs) continue;
      for (const threshold of CHECK_THRESHOLDS)
        paths.push(cascadePath(cheap, expensive, threshold, check.cost));
    }
  }
  return paths;
}

function findLeastRated(
  options: readonly CascadeOption[],
  best: CascadePath,
): CascadeOption | undefined {
  let leastRated: CascadeOption | undefined;
  for (const option of options) {
    if (option.cost >= best.cost || option.version === best.first) continue;
    if (
      leastRated &&
      countRatings(option.ratings) >= countRatings(leastRated.ratings)
    )
      continue;
    leastRated = option;
  }
  return leastRated;
}

/** Finds a version whose ratings could show that a cheaper path suffices. */
function findVersionToExplore(
  options: readonly CascadeOption[],
  paths: readonly CascadePath[],
  requirements: CascadeRequirements,
  best: CascadePath,
): string | undefined {
  const leastRated = findLeastRated(options, best);
  if (leastRated && countRatings(leastRated.ratings) < MIN_KNOWN_RATING_COUNT)
    return leastRated.version;
  let promising: CascadePath | undefined;
  for (const path of paths) {
    if (path.cost >= best.cost || path.qualityUpperBound < requirements.target)
      continue;
    if (!promising || path.cost < promising.cost) promising = path;
  }
  if (!promising) return undefined;
  const {first, second} = promising;
  const used = options.filter(
    ({version}) => version === first || version === second,
  );
  used.sort((a, b) => countRatings(a.ratings) - countRatings(b.ratings));
  return used[0]?.version;
}

/**
 * Draws whether the request explores a version, and which. The explored answer
 * is returned only if it passes the check at the target quality, so exploration
 * raises the cost but does not lower the quality.
 */
function drawExploration(
  options: readonly CascadeOption[],
  paths: readonly CascadePath[],
  requirements: CascadeRequirements,
  best: CascadePath,
  random: () => number,
): CascadePath | undefined {
  const draw = random();
  if (!requirements.check || draw >= EXPLORATION_RATIO) return undefined;
  const revisit = draw < REVISIT_RATIO;
  const first = revisit
    ? findLeastRated(options, best)?.version
    : findVersionToExplore(options, paths, requirements, best);
  if (!first) return undefined;
  const second = best.second ?? best.first;
  return {
    ...best,
    first,
    second,
    threshold: requirements.target,
    explored: true,
  };
}

/**
 * Chooses the cheapest path that meets the target. If none does, returns the
 * path with the highest predicted quality and `meetsTarget` false.
 */
export function choosePath(
  options: readonly CascadeOption[],
  requirements: CascadeRequirements,
  random: () => number,
): {path: CascadePath; meetsTarget: boolean} | undefined {
  const paths = listPaths(options, requirements);
  if (paths.length === 0) return undefined;
  const sufficient = paths.filter(path => path.quality >= requirements.target);
  if (sufficient.length === 0) {
    const path = paths.reduce((a, b) => (b.quality > a.quality ? b : a));
    return {path, meetsTarget: false};
  }
  const best = sufficient.reduce((a, b) => (b.cost < a.cost ? b : a));
  const exploration = drawExploration(
    options,
    paths,
    requirements,
    best,
    random,
  );
  return {path: exploration ?? best, meetsTarget: true};
}
