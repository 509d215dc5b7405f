/**
 * Which of a route's models answers, smallest first. A small model answers
 * first; where its confidence makes a larger one worth its cost and time, the
 * answer is dropped before any of it has gone out. Under load the expected time
 * of larger models and what they take from other requests grow, so that fewer
 * requests are sent on to them.
 */

/** A model as a choice. */
export interface ModelOption {
  readonly name: string;
  /** Its cost as a share of an answer's value. */
  readonly cost: number;
  /** Expected time to the header of its answer, milliseconds. */
  readonly expectedMs: number;
  /** Work that waits at the upstream which would be asked. */
  readonly presentWork: number;
  /** Confidence that it is expected to have above the asked model's. */
  readonly confidenceGain: number;
}

/** An answer whose header has come. */
export interface JudgedAnswer {
  readonly confidence: number;
  /** Time since the request came, milliseconds. */
  readonly elapsedMs: number;
  readonly objectiveMs: number;
}

/** Confidence, in percent, at which an answer is as likely good as poor. */
const EVEN_CONFIDENCE = 50;
/** Spread of the confidence around what the answer is worth, in percent. */
const CONFIDENCE_SPREAD = 15;
/** Value of an answer that comes after its objective. */
const LATE_VALUE = 0.3;
/** Value of an answer by a model that was too small for it. */
const POOR_VALUE = 0.05;
/** Spread of the time to a header, as a share of what is expected. */
const TIME_SPREAD = 0.5;
/** Work at an upstream up to which more of it delays nobody much. */
const FREE_WORK = 3;
/** Value lost by other requests for each unit of work beyond that. */
const CROWDING_COST = 0.04;
/** Gain under which a second model is not worth the work it makes. */
const MIN_GAIN = 0.05;

/** Logistic function with about the spread of a normal distribution. */
function likelihood(distance: number, spread: number): number {
  return 1 / (1 + Math.exp((-1.7 * distance) / spread));
}

/** Chance that an answer of a confidence is good. */
export function chanceGood(confidence: number): number {
  return likelihood(confidence - EVEN_CONFIDENCE, CONFIDENCE_SPREAD);
}

function valueOf(chance: number): number {
  return chance + (1 - chance) * POOR_VALUE;
}

function valueInTime(answer: JudgedAnswer, expectedMs: number): number {
  const spare = answer.objectiveMs - answer.elapsedMs - expectedMs;
  const inTime = likelihood(spare, Math.max(50, expectedMs * TIME_SPREAD));
  return inTime + (1 - inTime) * LATE_VALUE;
}

/** Value of an answer that is given now. */
export function valueNow(answer: JudgedAnswer): number {
  const late = answer.elapsedMs > answer.objectiveMs;
  return valueOf(chanceGood(answer.confidence)) * (late ? LATE_VALUE : 1);
}

/** Expected value of asking another model in place of an answer. */
export function valueOfAsking(
  answer: JudgedAnswer,
  option: ModelOption,
): number {
  const chance = chanceGood(answer.confidence + option.confidenceGain);
  const crowding = Math.max(0, option.presentWork - FREE_WORK) * CROWDING_COST;
  const value = valueOf(chance) * valueInTime(answer, option.expectedMs);
  return value - option.cost - crowding;
}

/** The model to ask in place of an answer; `undefined`: the answer stands. */
export function escalate(
  answer: JudgedAnswer,
  options: readonly ModelOption[],
): ModelOption | undefined {
  let best: ModelOption | undefined;
  let value = valueNow(answer) + MIN_GAIN;
  for (const option of options) {
    const expected = valueOfAsking(answer, option);
    if (expected <= value) continue;
    best = option;
    value = expected;
  }
  return best;
}
