/** Counts outcomes of both versions in a roll-out and reports the counts. */
import type {RolloutReport, UpstreamTally} from '@parsleyarch/peer/messages';
import {nextBaselineMs} from '@parsleyarch/policy/latency-baseline';
import {
  findRegression,
  type Tally,
  type VersionTally,
} from '@parsleyarch/policy/rollout';
import {Phase} from '@parsleyarch/policy/rollout-plan';
import {
  judgePace,
  Pace,
  type StreamGaps,
} from '@parsleyarch/policy/stream-pace';
import type {AnswerBody, Outcome, Send} from './attempt.js';
import {isStream, type Exchange} from './exchange.js';
import {keptSessionsOf} from './kept-sessions.js';
import type {EntryNode, KnownOrder, UpstreamState} from './node.js';
import {localElapsedSinceOrder, findPlan, type LocalTally} from './versions.js';

/** Multiple of the baseline latency above which a send counts as slow. */
const SLOW_LATENCY_RATIO = 3;
/** Latencies up to this one never count as slow. */
const MIN_SLOW_LATENCY_MS = 150;

/** Outcome of a send, for the comparison of versions. */
export interface VersionOutcome {
  readonly outcome: Outcome;
  /** Time from the send to its outcome. */
  readonly tookMs: number;
  readonly model: string;
}

/**
 * Updates the baseline with latencies of the old version, and without an order
 * with those of any version; returns whether this one is slow, or `undefined` for
 * a new version that this node cannot compare yet.
 */
function recordLatency(
  node: EntryNode,
  key: string,
  tookMs: number,
  fresh: boolean,
): boolean | undefined {
  const {latencyBaselines} = node.versions;
  const knownMs = latencyBaselines.get(key);
  if (fresh && knownMs === undefined) return undefined;
  const baselineMs = knownMs ?? tookMs;
  if (!fresh) latencyBaselines.set(key, nextBaselineMs(baselineMs, tookMs));
  return (
    tookMs > Math.max(MIN_SLOW_LATENCY_MS, baselineMs * SLOW_LATENCY_RATIO)
  );
}

function baselineKey({route}: Exchange, model = ''): string {
  return `${route.name}/${model}`;
}

function isEventStream(
  exchange: Exchange,
  outcome: Outcome,
): outcome is Extract<Outcome, {kind: 'answer'}> {
  return (
    outcome.kind === 'answer' &&
    outcome.answer.status < 300 &&
    isStream(exchange)
  );
}

function countSend(
  node: EntryNode,
  order: KnownOrder,
  upstream: UpstreamState,
): LocalTally {
  const {tallies} = node.versions;
  const counts = tallies.get(order.revision) ?? new Map();
  tallies.set(order.revision, counts);
  const {id, version} = upstream.registered;
  const fresh = version === order.target;
  const tally = counts.get(id) ?? {
    fresh,
    seen: 0,
    failed: 0,
    slow: 0,
    untimed: 0,
  };
  counts.set(id, tally);
  tally.seen += 1;
  return tally;
}

/** Counts the outcome of a send for the comparison of versions. */
export function recordVersionOutcome(
  node: EntryNode,
  exchange: Exchange,
  upstream: UpstreamState,
  {outcome, tookMs, model}: VersionOutcome,
): void {
  const order = node.orders.get(exchange.service);
  const fresh = upstream.registered.version === order?.target;
  const key = baselineKey(exchange, model);
  const answered = outcome.kind === 'answer';
  const timedOut = outcome.kind === 'lost' && outcome.tooLate;
  if (!answered && !timedOut) return;
  const slow = recordLatency(node, key, tookMs, fresh);
  if (!order) return;
  const tally = countSend(node, order, upstream);
  if (answered && outcome.answer.status >= 500) {
    tally.failed += 1;
    if (fresh) exchange.freshFailed = true;
  }
  if (timedOut) tally.slow += 1;
  else if (slow === undefined) tally.untimed += 1;
  else if (isEventStream(exchange, outcome)) {
    tally.untimed += 1;
    const stream = {tally, isHeadSlow: slow};
    node.versions.untimedStreams.set(outcome.body.send, stream);
  } else if (slow) tally.slow += 1;
  if (fresh) revertLocally(node, order);
}

/** Counts the latency of a stream, of whose events no more will be known. */
function settleStream(
  node: EntryNode,
  exchange: Exchange,
  send: Send,
  isPaceSlow: boolean,
): void {
  const {untimedStreams} = node.versions;
  const stream = untimedStreams.get(send);
  if (!stream) return;
  untimedStreams.delete(send);
  stream.tally.untimed -= 1;
  if (stream.isHeadSlow || isPaceSlow) stream.tally.slow += 1;
  const order = node.orders.get(exchange.service);
  if (order && stream.tally.fresh) revertLocally(node, order);
}

/** Counts a stream that this node drops in favour of another answer. */
export function recordDroppedStream(
  node: EntryNode,
  exchange: Exchange,
  {send}: AnswerBody,
): void {
  settleStream(node, exchange, send, false);
}

/** What is known of the gaps between the events of a stream. */
export interface StreamProgress {
  readonly gaps: StreamGaps;
  /** Whether no event follows. */
  readonly isOver: boolean;
}

/** Counts a stream as slow or timely; returns whether its pace is known. */
export function recordStreamGaps(
  node: EntryNode,
  exchange: Exchange,
  {send}: AnswerBody,
  model: string | undefined,
  {gaps, isOver}: StreamProgress,
): boolean {
  const {gapBaselines} = node.versions;
  const target = node.orders.get(exchange.service)?.target;
  const key = baselineKey(exchange, model);
  const baselineMs = gapBaselines.get(key);
  const pace = judgePace(gaps, baselineMs ?? Infinity, isOver);
  if (pace === Pace.unknown) return false;
  if (send.registered.version !== target && gaps.count > 0)
    gapBaselines.set(
      key,
      nextBaselineMs(baselineMs, gaps.totalMs / gaps.count),
    );
  if (baselineMs !== undefined)
    settleStream(node, exchange, send, pace === Pace.slow);
  return true;
}

function addTally(sum: Tally, seen: number, bad: number): Tally {
  return {seen: sum.seen + seen, bad: sum.bad + bad};
}

const EMPTY_SIGNAL_TALLY: Tally = {seen: 0, bad: 0};

/** Sums the counts of all upstreams of one version. */
export function sumTallies(
  tallies: Iterable<UpstreamTally>,
  fresh: boolean,
): VersionTally {
  let error = EMPTY_SIGNAL_TALLY;
  let latency = EMPTY_SIGNAL_TALLY;
  for (const tally of tallies) {
    if (tally.fresh !== fresh) continue;
    error = addTally(error, tally.seen, tally.failed);
    latency = addTally(latency, tally.seen - tally.untimed, tally.slow);
  }
  return {error, latency, rating: EMPTY_SIGNAL_TALLY};
}

/** Returns the counts of this node for an order. */
export function listTallies(
  node: EntryNode,
  orderRevision: number,
): UpstreamTally[] {
  const counts = node.versions.tallies.get(orderRevision) ?? new Map();
  return [...counts].map(([upstream, tally]) => ({upstream, ...tally}));
}

/** Stops using a version once this node's own counts show a regression. */
function revertLocally(node: EntryNode, order: KnownOrder): void {
  if (node.versions.locallyReverted.has(order.revision)) return;
  const plan = findPlan(node, order);
  if (plan?.phase === Phase.complete) return;
  const tallies = listTallies(node, order.revision);
  const signal = findRegression(
    sumTallies(tallies, true),
    sumTallies(tallies, false),
    Math.max(1, node.members.size),
  );
  if (!signal) return;
  node.versions.locallyReverted.add(order.revision);
  node.log.warn(
    {service: order.service, version: order.target, signal, tallies},
    'version no longer used by this node',
  );
}

export function collectRolloutReports(node: EntryNode): RolloutReport[] {
  const reports: RolloutReport[] = [];
  for (const order of node.orders.values()) {
    const plan = findPlan(node, order);
    const kept = keptSessionsOf(node, order.revision);
    let oldInFlight = 0;
    for (const {registered, inFlight} of node.upstreams.values()) {
      if (registered.service !== order.service) continue;
      if (registered.version !== order.target) oldInFlight += inFlight;
    }
    reports.push({
      service: order.service,
      order: order.revision,
      sequence: plan?.sequence ?? 0,
      tallies: listTallies(node, order.revision),
      oldInFlight,
      keptSessions: [...kept.local],
      keptFrom: kept.listPosition.incarnation,
      keptCount: kept.listPosition.count,
      elapsedMs: localElapsedSinceOrder(node, order),
    });
  }
  return reports;
}
