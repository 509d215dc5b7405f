/**
 * How likely an earlier request had the shared part of a prompt. Each node counts how often
 * it has itself sent the same shared part a short time before; with many nodes that is
 * rare, so that they add up their counts. Answers load whose prompts are shared by many
 * requests, by few or by none: requests are sent to where a prompt is expected only as far
 * as prompts recur. Pure functions only.
 */

/** Time constant with which counts lose weight, milliseconds. */
const COUNT_DECAY_MS = 10_000;
/** Requests below which the counts tell nothing. */
const MIN_COUNT = 100;

/** Requests of some nodes, and those whose shared part the same node had sent before. */
export interface PromptReuse {
  readonly sent: number;
  readonly repeated: number;
}

/** Counts of this node. */
export interface TimedReuse extends PromptReuse {
  readonly at: number;
}

/** The counts as they are at a later time. */
export function decayReuse(
  {sent, repeated, at}: TimedReuse,
  now: number,
): TimedReuse {
  const ratio = Math.exp(-Math.max(0, now - at) / COUNT_DECAY_MS);
  return {sent: sent * ratio, repeated: repeated * ratio, at: now};
}

/** Counts a request. */
export function recordReuse(
  known: TimedReuse | undefined,
  isRepeated: boolean,
  now: number,
): TimedReuse {
  const {sent, repeated} = known
    ? decayReuse(known, now)
    : {sent: 0, repeated: 0};
  return {sent: sent + 1, repeated: repeated + (isRepeated ? 1 : 0), at: now};
}

export function addReuse(a: PromptReuse, b: PromptReuse): PromptReuse {
  return {sent: a.sent + b.sent, repeated: a.repeated + b.repeated};
}

/**
 * Probability that any node has sent the shared part of a request before, by the counts of
 * all; 1 as long as there are few.
 */
export function expectReuse(
  {sent, repeated}: PromptReuse,
  nodeCount: number,
): number {
  if (sent < MIN_COUNT) return 1;
  return 1 - (1 - Math.min(1, repeated / sent)) ** nodeCount;
}
