/** Requests credits from the allocators and applies their answers. */
import {callPeer} from '@parsleyarch/peer/client';
import type {CreditAnswer, CreditAsk} from '@parsleyarch/peer/messages';
import {canServe} from '@parsleyarch/policy/balance';
import {
  findPeerAddress,
  getQueue,
  type RouterNode,
  type UpstreamState,
} from './node.js';
import {answerCreditAsks, groupOf, findAllocator} from './allocators.js';
import {usableCredits, viewUpstreams} from './upstreams.js';

const CREDIT_CALL_TIMEOUT_MS = 500;
/** Time for which a spare credit is kept after the last request. */
const SPARE_CREDIT_RETENTION_MS = 1_500;

/** Divides the waiting requests of each pool among its upstreams. */
function countWaitingPerUpstream(node: RouterNode): Map<string, number> {
  const counts = new Map<string, number>();
  const views = viewUpstreams(node);
  const pools = new Set([...node.waiting.values()].map(({pool}) => pool));
  for (const pool of pools) {
    const requirements = parsePool(pool);
    const capable = views.filter(view => canServe(view, requirements));
    const {length} = getQueue(node, pool).requests;
    for (const view of capable) {
      const share = Math.ceil(length / capable.length);
      counts.set(view.name, (counts.get(view.name) ?? 0) + share);
    }
  }
  return counts;
}

/** Parses `version:<name>` or `service:<name>`. */
function parsePool(pool: string): {version?: string; service?: string} {
  const at = pool.indexOf(':');
  const name = pool.slice(at + 1);
  return pool.startsWith('version:') ? {version: name} : {service: name};
}

/** Whether this round has something to report or request at the allocator. */
function needsAsk(
  upstream: UpstreamState,
  waiting: number,
  term: string,
): boolean {
  if (upstream.running.size > 0 || waiting > 0) return true;
  if (upstream.succeeded > 0 || upstream.failed) return true;
  if ((upstream.grant?.credits ?? 0) > 0) return true;
  // A new allocator may wait for reports of nodes.
  return upstream.lastReportedTerm !== term;
}

function createAsk(
  node: RouterNode,
  upstream: UpstreamState,
  waiting: number,
): CreditAsk {
  const inUse = upstream.running.size;
  const usedRecently =
    node.clock() - upstream.lastUsedAt < SPARE_CREDIT_RETENTION_MS;
  const want = inUse + waiting + (usedRecently ? 1 : 0);
  const holding = Math.max(
    inUse,
    Math.min(usableCredits(node, upstream), want),
  );
  // From here on the node uses no more credits than it reports as held.
  if (upstream.grant) upstream.grant = {...upstream.grant, credits: holding};
  node.creditRequestSequence += 1;
  return {
    upstream: upstream.name,
    node: node.name,
    incarnation: node.incarnation,
    upstreamIncarnation: upstream.report?.incarnation ?? 0,
    knownLimit: upstream.grant?.limit ?? 0,
    sequence: node.creditRequestSequence,
    holding,
    want,
    succeeded: upstream.succeeded,
    failed: upstream.failed,
  };
}

function applyAnswers(
  node: RouterNode,
  answers: readonly CreditAnswer[],
  askedAt: number,
): void {
  for (const answer of answers) {
    const upstream = node.upstreams.get(answer.upstream);
    if (!upstream) continue;
    upstream.grant = {...answer, expiresAt: askedAt + answer.ttlMs};
    const holder = findAllocator(node, groupOf(upstream.name))?.spec;
    upstream.lastReportedTerm = holder && `${holder.node}/${holder.epoch}`;
    node.metrics.upstreamLimit.set({upstream: upstream.name}, answer.limit);
  }
}

async function askAllocator(
  node: RouterNode,
  holder: string,
  asks: CreditAsk[],
): Promise<void> {
  const askedAt = node.clock();
  for (const {upstream} of asks) {
    const state = node.upstreams.get(upstream);
    if (!state) continue;
    state.succeeded = 0;
    state.failed = false;
  }
  if (holder === node.name) {
    applyAnswers(node, answerCreditAsks(node, asks), askedAt);
    return;
  }
  const address = findPeerAddress(node, holder);
  if (!address) return;
  const answer = await callPeer(
    node.peers,
    address,
    'askCredits',
    {asks},
    CREDIT_CALL_TIMEOUT_MS,
  );
  if (answer.isOk()) applyAnswers(node, answer.value.answers, askedAt);
  else restoreReports(node, asks);
}

/**
 * Restores the failures that a failed call reported, for the next report.
 * Successes are dropped, since the allocator may have counted them.
 */
function restoreReports(node: RouterNode, asks: readonly CreditAsk[]): void {
  for (const ask of asks) {
    const upstream = node.upstreams.get(ask.upstream);
    if (!upstream) continue;
    upstream.failed ||= ask.failed;
  }
}

/** Renews credits and requests those that waiting requests need. */
export async function requestCredits(node: RouterNode): Promise<void> {
  const waitingCounts = countWaitingPerUpstream(node);
  const byHolder = new Map<string, CreditAsk[]>();
  for (const upstream of node.upstreams.values()) {
    const holder = findAllocator(node, groupOf(upstream.name))?.spec;
    if (!holder || holder.released) continue;
    const waiting = waitingCounts.get(upstream.name) ?? 0;
    const term = `${holder.node}/${holder.epoch}`;
    if (!needsAsk(upstream, waiting, term)) continue;
    const ask = createAsk(node, upstream, waiting);
    byHolder.set(holder.node, [...(byHolder.get(holder.node) ?? []), ask]);
  }
  const calls = [...byHolder].map(([holder, asks]) =>
    askAllocator(node, holder, asks),
  );
  await Promise.all(calls);
  node.wakeWaiting();
}
