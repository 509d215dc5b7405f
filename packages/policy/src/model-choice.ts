/**
 * Which of a route's models answers, smallest first. A small model answers
 * first; an answer of low confidence is dropped before any of it has gone out,
 * and a larger model is asked.
 */

/** Settings of the cascade. */
export interface CascadeRule {
  /** Confidence, in percent, under which an answer is dropped. */
  readonly minConfidence: number;
  /** Share of the objective after which no second model is asked. */
  readonly latestShare: number;
}

/** The model that is asked first. */
export function firstModel(models: readonly string[]): string | undefined {
  return models[0];
}

/** An answer whose header has come. */
export interface JudgedAnswer {
  readonly model: string;
  readonly confidence?: number;
  /** Time since the request came, milliseconds. */
  readonly elapsedMs: number;
  readonly objectiveMs: number;
}

/** The model to ask in place of an answer; `undefined`: the answer stands. */
export function escalate(
  models: readonly string[],
  answer: JudgedAnswer,
  rule: CascadeRule,
): string | undefined {
  const largest = models.at(-1);
  if (largest === undefined || answer.model === largest) return undefined;
  if (answer.confidence === undefined) return undefined;
  if (answer.confidence >= rule.minConfidence) return undefined;
  if (answer.elapsedMs > answer.objectiveMs * rule.latestShare)
    return undefined;
  return largest;
}
