/** Credits: what this node asks of allocators, and how it uses what it gets. */
import {callPeer} from '@parsleyarch/peer/client';
import type {CreditAnswer, CreditAsk} from '@parsleyarch/peer/messages';
import {canServe} from '@parsleyarch/policy/balance';
import {
  findPeerAddress,
  getQueue,
  type RouterNode,
  type UpstreamState,
} from './node.js';
import {answerAsks, groupOf, holderOf} from './allocators.js';
import {goodCredits, viewUpstreams} from './upstreams.js';

const ASK_TIMEOUT_MS = 500;
/** Time after its last use for which an upstream keeps a spare credit. */
const SPARE_MS = 1_500;

/** Requests that wait now and that each upstream could serve, shared out. */
function waitingShares(node: RouterNode): Map<string, number> {
  const shares = new Map<string, number>();
  const views = viewUpstreams(node);
  const pools = new Set([...node.waiting.values()].map(({pool}) => pool));
  for (const pool of pools) {
    const need = poolNeed(pool);
    const fitting = views.filter(view => canServe(view, need));
    const {length} = getQueue(node, pool).requests;
    for (const view of fitting) {
      const share = Math.ceil(length / fitting.length);
      shares.set(view.name, (shares.get(view.name) ?? 0) + share);
    }
  }
  return shares;
}

/** What a pool's name says of its upstreams. */
function poolNeed(pool: string): {version?: string; service?: string} {
  const at = pool.indexOf(':');
  const name = pool.slice(at + 1);
  return pool.startsWith('version:') ? {version: name} : {service: name};
}

/** Whether a round has anything to say or to ask of an upstream's allocator. */
function needsAsk(
  upstream: UpstreamState,
  waiting: number,
  holder: string,
): boolean {
  if (upstream.running.size > 0 || waiting > 0) return true;
  if (upstream.succeeded > 0 || upstream.failed) return true;
  if ((upstream.grant?.credits ?? 0) > 0) return true;
  // A new allocator awaits one report of every node.
  return upstream.reportedTo !== holder;
}

function askFor(
  node: RouterNode,
  upstream: UpstreamState,
  waiting: number,
): CreditAsk {
  const inUse = upstream.running.size;
  const recent = node.clock() - upstream.lastUsedAt < SPARE_MS;
  const want = inUse + waiting + (recent ? 1 : 0);
  const holding = Math.max(inUse, Math.min(goodCredits(node, upstream), want));
  // From here on the node uses no more than it says it holds.
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

function takeAnswers(
  node: RouterNode,
  answers: readonly CreditAnswer[],
  askedAt: number,
): void {
  for (const answer of answers) {
    const upstream = node.upstreams.get(answer.upstream);
    if (!upstream) continue;
    upstream.grant = {...answer, expiresAt: askedAt + answer.ttlMs};
    const holder = holderOf(node, groupOf(upstream.name))?.spec;
    upstream.reportedTo = holder && `${holder.node}/${holder.epoch}`;
    node.metrics.upstreamLimit.set({upstream: upstream.name}, answer.limit);
  }
}

async function askHolder(
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
    takeAnswers(node, answerAsks(node, asks), askedAt);
    return;
  }
  const address = findPeerAddress(node, holder);
  if (!address) return;
  const answer = await callPeer(
    node.peers,
    address,
    'askCredits',
    {asks},
    ASK_TIMEOUT_MS,
  );
  if (answer.isOk()) takeAnswers(node, answer.value.answers, askedAt);
  else restoreReports(node, asks);
}

/** Keeps what a lost ask had reported, for the next one. */
function restoreReports(node: RouterNode, asks: readonly CreditAsk[]): void {
  for (const ask of asks) {
    const upstream = node.upstreams.get(ask.upstream);
    if (!upstream) continue;
    upstream.failed ||= ask.failed;
  }
}

/** One round: renews credits and asks for what waiting requests need. */
export async function creditStep(node: RouterNode): Promise<void> {
  const waiting = waitingShares(node);
  const byHolder = new Map<string, CreditAsk[]>();
  for (const upstream of node.upstreams.values()) {
    const holder = holderOf(node, groupOf(upstream.name))?.spec;
    if (!holder || holder.released) continue;
    const wanted = waiting.get(upstream.name) ?? 0;
    const term = `${holder.node}/${holder.epoch}`;
    if (!needsAsk(upstream, wanted, term)) continue;
    const ask = askFor(node, upstream, wanted);
    byHolder.set(holder.node, [...(byHolder.get(holder.node) ?? []), ask]);
  }
  const rounds = [...byHolder].map(([holder, asks]) =>
    askHolder(node, holder, asks),
  );
  await Promise.all(rounds);
  node.wakeWaiting();
}
