/** What nodes learn from outcomes and ratings, shared by counters. */
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
import {z} from 'zod';
import {shareNews} from './crashes.js';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';

/** Share of answers that are sent to the rating service. */
const RATED_SHARE = 0.3;
/** Rating below which an answer counts as bad for a roll-out. */
const BAD_RATING = 0.5;
/** Factor over the declared first-token time that counts as bad. */
const LATE_FACTOR = 4;
/** Rounds of sharing after which all counters are told again. */
const FULL_ROUNDS = 30;
const RATER_IDLE_MS = 5_000;
const MAX_RATING_BYTES = 4_096;

const Rating = z.object({rating: z.number().min(0).max(1)});

/** How a generation on a version went. */
export interface VersionOutcome {
  readonly failed: boolean;
  /** Absent when no token came. */
  readonly firstTokenMs?: number;
}

function ownShare(node: RouterNode): ShardOwner {
  const window = Math.floor(Date.now() / COUNTER_WINDOW_MS);
  return {node: node.name, incarnation: node.incarnation, window};
}

function count(node: RouterNode, name: string): void {
  incrementCounter(node.evidence, ownShare(node), name);
}

function countSignal(
  node: RouterNode,
  version: string,
  signal: Signal,
  bad: boolean,
): void {
  count(node, `${version}/${signal}/seen`);
  if (bad) count(node, `${version}/${signal}/bad`);
}

/** Counts how a generation went, and brakes a new version that does harm. */
export function countOutcome(
  node: RouterNode,
  version: string,
  outcome: VersionOutcome,
): void {
  const declared = findResource(node.configuration, 'Version', version)?.spec;
  countSignal(node, version, 'error', outcome.failed);
  const late = (declared?.firstTokenMs ?? Infinity) * LATE_FACTOR;
  if (outcome.firstTokenMs !== undefined)
    countSignal(node, version, 'latency', outcome.firstTokenMs > late);
  brakeHarmful(node);
}

/** All nodes' counts of a version. */
export function tallyOf(node: RouterNode, version: string): VersionTally {
  const tally = (signal: Signal) => ({
    seen: readTotal(node.evidence, `${version}/${signal}/seen`),
    bad: readTotal(node.evidence, `${version}/${signal}/bad`),
  });
  const [error, latency, rating] = SIGNALS.map(tally);
  return {error, latency, rating};
}

/** Stops giving new sessions to versions that do harm, before any agreement. */
export function brakeHarmful(node: RouterNode): void {
  for (const {name, spec} of listResources(node.configuration, 'Rollout')) {
    if (spec.state !== 'running' || node.braked.has(spec.to)) continue;
    const signal = findRegression(
      tallyOf(node, spec.to),
      tallyOf(node, spec.from),
    );
    if (!signal) continue;
    node.braked.add(spec.to);
    recordDecision(node, {
      decision: 'brake',
      candidates: [spec.from, spec.to],
      choice: spec.from,
      reason: `${signal} is worse on ${spec.to}`,
      rollout: name,
    });
    // Peers brake by the same counts; this node's newest are still untold.
    void shareNews(node, {
      type: 'counters',
      share: collectChangedCounters(node.evidence, ownShare(node), new Map()),
    });
  }
}

/** What this node has told its peers of its own counters. */
export interface Told {
  round: number;
  window: number;
  counters: Map<string, number>;
}

/** A node that has told nothing. */
export function createTold(): Told {
  return {round: 0, window: 0, counters: new Map()};
}

/**
 * Tells all peers the counters that have changed; all of them once in a while,
 * for peers that missed some or are new.
 */
export async function shareCounters(
  node: RouterNode,
  told: Told,
): Promise<void> {
  const owner = ownShare(node);
  dropOldWindows(node.evidence, owner.window);
  const isFull = told.round % FULL_ROUNDS === 0;
  if (isFull || told.window !== owner.window) told.counters = new Map();
  told.round += 1;
  told.window = owner.window;
  const share = collectChangedCounters(node.evidence, owner, told.counters);
  const changed = Object.entries(share.counters);
  if (changed.length === 0) return;
  for (const [name, value] of changed) told.counters.set(name, value);
  await shareNews(node, {type: 'counters', share});
}

/** Ratings of a version in a task class, over all nodes. */
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

/** An answer to be rated. */
export interface RatedAnswer {
  readonly taskClass: string;
  readonly version: string;
  readonly prompt: string;
  readonly answer: string;
}

/** Asks the rating service for one rating; undefined when it gives none. */
export async function askRating(
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
    idleMs: RATER_IDLE_MS,
    signal,
  });
  if (answer.isErr()) return undefined;
  const body = await readBody(answer.value, MAX_RATING_BYTES);
  if (body.isErr() || answer.value.statusCode !== 200) return undefined;
  try {
    const {rating} = Rating.parse(JSON.parse(body.value.toString('utf8')));
    return rating;
  } catch (thrown) {
    node.log.warn({error: messageOf(thrown)}, 'rating cannot be read');
    return undefined;
  }
}

/** Enters a rating into the counters. */
export function countRating(
  node: RouterNode,
  {taskClass, version}: RatedAnswer,
  rating: number,
): void {
  count(node, `${version}/${taskClass}/rating-${ratingBin(rating)}`);
  countSignal(node, version, 'rating', rating < BAD_RATING);
  brakeHarmful(node);
}

/** Has a share of the answers rated, after they were given. */
export async function sampleRating(
  node: RouterNode,
  rated: RatedAnswer,
): Promise<void> {
  const onTrial = listResources(node.configuration, 'Rollout').some(
    ({spec}) => spec.state === 'running' && spec.to === rated.version,
  );
  if (!onTrial && node.random() >= RATED_SHARE) return;
  const rating = await askRating(node, rated);
  if (rating !== undefined) countRating(node, rated, rating);
}
