/** What the node has seen of both versions, and what it reports of them. */
import type {RolloutReport, UpstreamTally} from '@parsleyarch/peer/messages';
import {
  findRegression,
  type Tally,
  type VersionTally,
} from '@parsleyarch/policy/rollout';
import {Phase} from '@parsleyarch/policy/rollout-plan';
import type {Outcome} from './attempt.js';
import type {Exchange} from './exchange.js';
import {keptOf} from './kept-sessions.js';
import type {EntryNode, KnownOrder, UpstreamState} from './node.js';
import {knownElapsed, planOf, type CountedUpstream} from './versions.js';

/** Multiple of the usual time from which a send counts as slow. */
const SLOW_FACTOR = 3;
/** Time that is never slow, milliseconds. */
const SLOW_FLOOR_MS = 150;
/** Weight of the newest time in the usual one. */
const TIME_WEIGHT = 0.05;

/** How a send ended, as far as the version's quality goes. */
export interface VersionOutcome {
  readonly outcome: Outcome;
  readonly tookMs: number;
  readonly model: string;
}

function isSlow(
  node: EntryNode,
  key: string,
  tookMs: number,
  fresh: boolean,
): boolean {
  const {usual} = node.versions;
  const known = usual.get(key) ?? tookMs;
  if (!fresh) usual.set(key, known + (tookMs - known) * TIME_WEIGHT);
  return tookMs > Math.max(SLOW_FLOOR_MS, known * SLOW_FACTOR);
}

function countSend(
  node: EntryNode,
  order: KnownOrder,
  upstream: UpstreamState,
): CountedUpstream {
  const {tallies} = node.versions;
  const counts = tallies.get(order.revision) ?? new Map();
  tallies.set(order.revision, counts);
  const {id, version} = upstream.registered;
  const fresh = version === order.target;
  const tally = counts.get(id) ?? {fresh, seen: 0, failed: 0, slow: 0};
  counts.set(id, tally);
  tally.seen += 1;
  return tally;
}

/** Counts a send's end for the comparison of versions. */
export function noteOutcome(
  node: EntryNode,
  exchange: Exchange,
  upstream: UpstreamState,
  {outcome, tookMs, model}: VersionOutcome,
): void {
  const order = node.orders.get(exchange.service);
  const fresh = upstream.registered.version === order?.target;
  const key = `${exchange.route.name}/${model}`;
  const answered = outcome.kind === 'answer';
  const cut = outcome.kind === 'lost' && outcome.tooLate;
  if (!answered && !cut) return;
  const slow = isSlow(node, key, tookMs, fresh);
  if (!order) return;
  const tally = countSend(node, order, upstream);
  if (answered && outcome.answer.status >= 500) {
    tally.failed += 1;
    if (fresh) exchange.freshFailed = true;
  }
  if (slow || cut) tally.slow += 1;
  if (fresh) brake(node, order);
}

function addTally(sum: Tally, seen: number, bad: number): Tally {
  return {seen: sum.seen + seen, bad: sum.bad + bad};
}

const NOTHING: Tally = {seen: 0, bad: 0};

/** Sums counts of upstreams of one side. */
export function sumTallies(
  tallies: Iterable<UpstreamTally>,
  fresh: boolean,
): VersionTally {
  let error = NOTHING;
  let latency = NOTHING;
  for (const tally of tallies) {
    if (tally.fresh !== fresh) continue;
    error = addTally(error, tally.seen, tally.failed);
    latency = addTally(latency, tally.seen, tally.slow);
  }
  return {error, latency, rating: NOTHING};
}

/** The counts of this node for an order. */
export function listTallies(node: EntryNode, order: number): UpstreamTally[] {
  const counts = node.versions.tallies.get(order) ?? new Map();
  return [...counts].map(([upstream, tally]) => ({upstream, ...tally}));
}

/** Stops using a version at once when this node's own counts speak against it. */
function brake(node: EntryNode, order: KnownOrder): void {
  if (node.versions.braked.has(order.revision)) return;
  const plan = planOf(node, order);
  if (plan?.phase === Phase.complete) return;
  const tallies = listTallies(node, order.revision);
  const signal = findRegression(
    sumTallies(tallies, true),
    sumTallies(tallies, false),
  );
  if (!signal) return;
  node.versions.braked.add(order.revision);
  node.log.warn(
    {service: order.service, version: order.target, signal, tallies},
    'version no longer used by this node',
  );
}

/** What this node reports of its roll-outs. */
export function reportRollouts(node: EntryNode): RolloutReport[] {
  const reports: RolloutReport[] = [];
  for (const order of node.orders.values()) {
    const plan = planOf(node, order);
    const kept = keptOf(node, order.revision);
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
      keptSessions: [...kept.seen],
      keptFrom: kept.from.incarnation,
      keptCount: kept.from.count,
      elapsedMs: knownElapsed(node, order),
    });
  }
  return reports;
}
