/**
 * Escalation from a small model of a route to a larger one. The smallest model
 * is asked first. If its confidence makes a larger model worth the cost and
 * time, the answer is dropped before any of it is sent to the client. Under
 * load, the expected time of larger models and their cost to other requests
 * grow, so fewer requests escalate.
 */

/** A larger model that may be asked. */
export interface ModelOption {
  readonly name: string;
  /** Cost of an answer, as a share of the value of a good one. */
  readonly cost: number;
  /** Expected time to its response header, milliseconds. */
  readonly expectedMs: number;
  /** Work present at the upstream that would get the request, in work units. */
  readonly presentWork: number;
  /** Expected confidence gain over the model asked before, in percent. */
  readonly confidenceGain: number;
}

/** An answer whose header has arrived, with its confidence. */
export interface ScoredAnswer {
  readonly confidence: number;
  /** Time since the request arrived, milliseconds. */
  readonly elapsedMs: number;
  /** Latency objective of the route, from the arrival, milliseconds. */
  readonly objectiveMs: number;
}

/** Confidence at which an answer is equally likely to be good or poor. */
const EVEN_CONFIDENCE_PERCENT = 50;
/** Spread of the confidence around the point of equal likelihood. */
const CONFIDENCE_SPREAD_PERCENT = 15;
/** Value of an answer after its time objective, relative to one in time. */
const LATE_VALUE_RATIO = 0.3;
/** Value of an answer by too small a model, relative to a good answer. */
const POOR_VALUE_RATIO = 0.05;
/**
 * Spread of the time to the response header, relative to the expected time; the
 * spread is 50 ms at least.
 */
const TIME_SPREAD_RATIO = 0.75;
/** Work at an upstream up to which more work barely delays other requests. */
const UNCROWDED_WORK_UNITS = 3;
/** Value that other requests lose per work unit above that. */
const CROWDING_COST_PER_UNIT = 0.04;
/** Value gain below which a second model does not justify its load. */
const MIN_VALUE_GAIN = 0.05;

/** Logistic approximation of a normal distribution function. */
function logistic(distance: number, spread: number): number {
  return 1 / (1 + Math.exp((-1.7 * distance) / spread));
}

/** Probability that an answer with this confidence, in percent, is good. */
export function chanceGood(confidence: number): number {
  return logistic(
    confidence - EVEN_CONFIDENCE_PERCENT,
    CONFIDENCE_SPREAD_PERCENT,
  );
}

function expectedValue(chance: number): number {
  return chance + (1 - chance) * POOR_VALUE_RATIO;
}

function timelinessFactor(answer: ScoredAnswer, expectedMs: number): number {
  const slackMs = answer.objectiveMs - answer.elapsedMs - expectedMs;
  const inTime = logistic(
    slackMs,
    Math.max(50, expectedMs * TIME_SPREAD_RATIO),
  );
  return inTime + (1 - inTime) * LATE_VALUE_RATIO;
}

/** Value of passing the answer on now. */
export function valueOfAnswer(answer: ScoredAnswer): number {
  const late = answer.elapsedMs > answer.objectiveMs;
  return (
    expectedValue(chanceGood(answer.confidence)) * (late ? LATE_VALUE_RATIO : 1)
  );
}

/** Expected value of dropping the answer and asking another model. */
export function valueOfAsking(
  answer: ScoredAnswer,
  option: ModelOption,
): number {
  const chance = chanceGood(answer.confidence + option.confidenceGain);
  const crowding =
    Math.max(0, option.presentWork - UNCROWDED_WORK_UNITS) *
    CROWDING_COST_PER_UNIT;
  const value =
    expectedValue(chance) * timelinessFactor(answer, option.expectedMs);
  return value - option.cost - crowding;
}

/** The model to ask instead of using the answer; `undefined` to use it. */
export function escalate(
  answer: ScoredAnswer,
  options: readonly ModelOption[],
): ModelOption | undefined {
  let best: ModelOption | undefined;
  let value = valueOfAnswer(answer) + MIN_VALUE_GAIN;
  for (const option of options) {
    const expected = valueOfAsking(answer, option);
    if (expected <= value) continue;
    best = option;
    value = expected;
  }
  return best;
}
