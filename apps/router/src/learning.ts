/**
 * Requests ratings, and counts outcomes and ratings of versions in counters that
 * are replicated to all nodes.
 */
import {messageOf} from '@parsleyarch/errors/failure';
import {
  NO_RATINGS,
  RATING_BIN_COUNT,
  ratingBin,
  type RatingCounts,
} from '@parsleyarch/policy/cascade';
import {
  findRegression,
  SIGNALS,
  type Signal,
  type VersionTally,
} from '@parsleyarch/policy/rollout';
import {
  incrementCounter,
  collectChangedCounters,
  dropOldWindows,
  readTotal,
  COUNTER_WINDOW_MS,
  type ShardOwner,
} from '@parsleyarch/protocol/evidence';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import {readBody, sendRequest} from '@parsleyarch/upstream/exchange';
import * as http from 'node:http';
import * as z from 'zod';
import {shareEvidence} from './crashes.js';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';

/** Ratio of answers that are sent to the rating service. */
const RATED_ANSWER_RATIO = 0.3;
/** An answer with a lower rating counts as bad for a roll-out. */
const MIN_GOOD_RATING = 0.5;
/** A first token later than this multiple of the declared time is bad. */
const LATE_FIRST_TOKEN_RATIO = 4;
/** Rounds after which all counters are sent, not only the changed ones. */
const FULL_RESEND_ROUND_COUNT = 30;
const RATER_IDLE_TIMEOUT_MS = 5_000;
const MAX_RATING_BYTES = 4_096;

const Rating = z.object({rating: z.number().min(0).max(1)});

/** Outcome of a generation on a version. */
export interface VersionOutcome {
  readonly failed: boolean;
  /** Absent when no token arrived. */
  readonly firstTokenMs?: number;
}

function currentShardOwner(node: RouterNode): ShardOwner {
  const window = Math.floor(Date.now() / COUNTER_WINDOW_MS);
  return {node: node.name, incarnation: node.incarnation, window};
}

function incrementLocal(node: RouterNode, name: string): void {
  incrementCounter(node.evidence, currentShardOwner(node), name);
}

function countSignal(
  node: RouterNode,
  version: string,
  signal: Signal,
  bad: boolean,
): void {
  incrementLocal(node, `${version}/${signal}/seen`);
  if (bad) incrementLocal(node, `${version}/${signal}/bad`);
}

/** Counts an outcome, and suspends a new version that shows a regression. */
export function recordOutcome(
  node: RouterNode,
  version: string,
  outcome: VersionOutcome,
): void {
  const declared = findResource(node.configuration, 'Version', version)?.spec;
  countSignal(node, version, 'error', outcome.failed);
  const lateMs = (declared?.firstTokenMs ?? Infinity) * LATE_FIRST_TOKEN_RATIO;
  if (outcome.firstTokenMs !== undefined)
    countSignal(node, version, 'latency', outcome.firstTokenMs > lateMs);
  suspendRegressed(node);
}

/** Signal counts of a version over all nodes. */
export function tallyVersion(node: RouterNode, version: string): VersionTally {
  const tally = (signal: Signal) => ({
    seen: readTotal(node.evidence, `${version}/${signal}/seen`),
    bad: readTotal(node.evidence, `${version}/${signal}/bad`),
  });
  const [error, latency, rating] = SIGNALS.map(tally);
  return {error, latency, rating};
}

/**
 * Stops assigning new sessions to versions that show a regression. Each node
 * does so on its own, before the roll-back is recorded.
 */
export function suspendRegressed(node: RouterNode): void {
  for (const {name, spec} of listResources(node.configuration, 'Rollout')) {
    if (spec.state !== 'running' || node.suspended.has(spec.to)) continue;
    const signal = findRegression(
      tallyVersion(node, spec.to),
      tallyVersion(node, spec.from),
    );
    if (!signal) continue;
    node.suspended.add(spec.to);
    recordDecision(node, {
      decision: 'brake',
      candidates: [spec.from, spec.to],
      choice: spec.from,
      reason: `${signal} is worse on ${spec.to}`,
      rollout: name,
    });
    // Sent at once, since peers suspend by the same counts and lack the newest.
    void shareEvidence(node, {
      type: 'counters',
      share: collectChangedCounters(
        node.evidence,
        currentShardOwner(node),
        new Map(),
      ),
    });
  }
}

/** Values of this node's counters as last sent to its peers. */
export interface SharedCounters {
  round: number;
  window: number;
  counters: Map<string, number>;
}

export function createSharedCounters(): SharedCounters {
  return {round: 0, window: 0, counters: new Map()};
}

/**
 * Sends the changed counters to all peers. Sends all counters every
 * `FULL_RESEND_ROUND_COUNT` rounds, for peers that missed some or are new.
 */
export async function shareCounters(
  node: RouterNode,
  shared: SharedCounters,
): Promise<void> {
  const owner = currentShardOwner(node);
  dropOldWindows(node.evidence, owner.window);
  const isFull = shared.round % FULL_RESEND_ROUND_COUNT === 0;
  if (isFull || shared.window !== owner.window) shared.counters = new Map();
  shared.round += 1;
  shared.window = owner.window;
  const share = collectChangedCounters(node.evidence, owner, shared.counters);
  const changed = Object.entries(share.counters);
  if (changed.length === 0) return;
  for (const [name, value] of changed) shared.counters.set(name, value);
  await shareEvidence(node, {type: 'counters', share});
}

/** Rating counts of a version in a task class, over all nodes. */
export function ratingsOf(
  node: RouterNode,
  taskClass: string,
  version: string,
): RatingCounts {
  if (node.evidence.totals.size === 0) return NO_RATINGS;
  return Array.from({length: RATING_BIN_COUNT}, (_, bin) =>
    readTotal(node.evidence, `${version}/${taskClass}/rating-${bin}`),
  );
}

/** An answer as sent to the rating service. */
export interface RatedAnswer {
  readonly taskClass: string;
  readonly version: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Requests a rating; undefined when the rating service gives none. */
export async function requestRating(
  node: RouterNode,
  rated: RatedAnswer,
  signal?: AbortSignal,
): Promise<number | undefined> {
  const {rater} = node.settings;
  if (!rater) return undefined;
  const answer = await sendRequest({
    url: new URL('/rate', rater.address),
    method: 'POST',
    body: Buffer.from(JSON.stringify(rated)),
    headers: {'content-type': 'application/json'},
    agent: http.globalAgent,
    idleMs: RATER_IDLE_TIMEOUT_MS,
    signal,
  });
  if (answer.isErr()) return undefined;
  const body = await readBody(answer.value, MAX_RATING_BYTES);
  if (body.isErr() || answer.value.statusCode !== 200) return undefined;
  try {
    const {rating} = Rating.parse(JSON.parse(body.value.toString('utf8')));
    return rating;
  } catch (thrown) {
    node.log.warn(
      {error: messageOf(thrown)},
      'rating service sent an invalid rating',
    );
    return undefined;
  }
}

/** Counts a rating, and suspends a new version that shows a regression. */
export function recordRating(
  node: RouterNode,
  {taskClass, version}: RatedAnswer,
  rating: number,
): void {
  incrementLocal(node, `${version}/${taskClass}/rating-${ratingBin(rating)}`);
  countSignal(node, version, 'rating', rating < MIN_GOOD_RATING);
  suspendRegressed(node);
}

/**
 * Rates a random sample of the answers after they were sent, and all answers of
 * a version that is being rolled out.
 */
export async function sampleRating(
  node: RouterNode,
  rated: RatedAnswer,
): Promise<void> {
  const isInRollout = listResources(node.configuration, 'Rollout').some(
    ({spec}) => spec.state === 'running' && spec.to === rated.version,
  );
  if (!isInRollout && node.random() >= RATED_ANSWER_RATIO) return;
  const rating = await requestRating(node, rated);
  if (rating !== undefined) recordRating(node, rated, rating);
}
