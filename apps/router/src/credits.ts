/** Credits: asking stewards for them, and granting them as a steward. */
import {callPeer} from '@parsleyarch/peer/client';
import type {CreditAnswer, CreditAsk} from '@parsleyarch/peer/messages';
import {fits} from '@parsleyarch/policy/balance';
import {
  createStewardship,
  dropNodes,
  grantCredits,
  GRANT_TTL_MS,
  setLimits,
} from '@parsleyarch/protocol/credit';
import {FRESH_BOUND_MS, Freshness} from '@parsleyarch/protocol/freshness';
import {isLive} from '@parsleyarch/protocol/membership';
import {hashUnit, rank} from '@parsleyarch/protocol/rendezvous';
import {find, list} from '@parsleyarch/resource/configuration';
import type {Resource, StewardSpec} from '@parsleyarch/resource/schema';
import {randomUUID} from 'node:crypto';
import {append} from './config.js';
import {decide} from './decisions.js';
import {
  freshness,
  liveNames,
  peerAddress,
  queueOf,
  type RouterNode,
  type UpstreamState,
} from './node.js';
import {goodCredits, viewUpstreams} from './upstreams.js';

/** Groups into which upstreams are divided; each has one steward. */
export const GROUPS = 16;
/** The group whose holder steps roll-outs and writes snapshots. */
export const CONTROL_GROUP = 'control';
const ASK_TIMEOUT_MS = 500;
/** Time after its last use for which an upstream keeps a spare credit. */
const SPARE_MS = 1_500;
/** Allowance for clocks and calls in the wait of a new steward. */
const TAKEOVER_SLACK_MS = 500;

/** The group of an upstream. */
export function groupOf(upstream: string): string {
  return `group-${Math.floor(hashUnit(upstream) * GROUPS)}`;
}

function holderOf(
  node: RouterNode,
  group: string,
): Resource<'Steward'> | undefined {
  return find(node.configuration, 'Steward', group);
}

/** Whether this node holds a group and may act on that. */
export function holdsGroup(node: RouterNode, group: string): boolean {
  const holder = holderOf(node, group)?.spec;
  if (!holder || holder.released || node.stopping) return false;
  if (holder.node !== node.name || holder.incarnation !== node.incarnation)
    return false;
  return freshness(node) !== Freshness.stale;
}

function isHolderUp(node: RouterNode, holder: StewardSpec): boolean {
  if (holder.released) return false;
  if (holder.node === node.name) return holder.incarnation === node.incarnation;
  if (!node.membership.listed.has(holder.node)) return false;
  const heard = node.membership.beats.get(holder.node);
  if (heard?.beat.incarnation !== holder.incarnation) return false;
  return isLive(node.membership, holder.node, node.clock());
}

function neededGroups(node: RouterNode): Set<string> {
  const groups = new Set([CONTROL_GROUP]);
  for (const {name} of list(node.configuration, 'Upstream'))
    groups.add(groupOf(name));
  return groups;
}

/** Takes over groups without a holder for which this node comes first. */
export async function stewardStep(node: RouterNode): Promise<void> {
  if (node.stopping || freshness(node) !== Freshness.confirmed) return;
  const live = liveNames(node);
  const changes = [];
  for (const group of neededGroups(node)) {
    const holder = holderOf(node, group);
    if (holder && isHolderUp(node, holder.spec)) continue;
    if (rank(group, live)[0] !== node.name) continue;
    const spec: StewardSpec = {
      node: node.name,
      incarnation: node.incarnation,
      epoch: (holder?.spec.epoch ?? 0) + 1,
      released: false,
    };
    const expect = holder?.revision ?? 0;
    changes.push({kind: 'Steward' as const, name: group, spec, expect});
  }
  if (changes.length === 0) return;
  const author = `node/${node.name}`;
  const result = await append(node, {changeId: randomUUID(), author, changes});
  decide(node, {
    decision: 'steward',
    candidates: live,
    choice: node.name,
    reason: result.isOk() ? 'taken' : result.error.message,
    groups: changes.map(change => change.name),
  });
}

/** Gives up all groups on a planned stop, after the last grant. */
export async function releaseGroups(node: RouterNode): Promise<void> {
  const changes = [];
  for (const {name, spec, revision} of list(node.configuration, 'Steward')) {
    if (spec.node !== node.name || spec.released) continue;
    if (spec.incarnation !== node.incarnation) continue;
    const released = {...spec, released: true};
    changes.push({
      kind: 'Steward' as const,
      name,
      spec: released,
      expect: revision,
    });
  }
  if (changes.length === 0) return;
  const author = `node/${node.name}`;
  await append(node, {changeId: randomUUID(), author, changes});
}

/** Time that a new steward waits before its first grant. */
function takeoverWait(holder: StewardSpec, released: boolean): number {
  if (holder.epoch <= 1) return 0;
  const silence = GRANT_TTL_MS + TAKEOVER_SLACK_MS;
  return released ? silence : FRESH_BOUND_MS + silence;
}

/**
 * Keeps stewardships in step with the configuration; called after each change
 * with the holders as they were before it.
 */
export function syncStewardships(
  node: RouterNode,
  before: ReadonlyMap<string, Resource<'Steward'>>,
): void {
  for (const {name, spec} of list(node.configuration, 'Upstream')) {
    const group = groupOf(name);
    const holder = holderOf(node, group)?.spec;
    const mine =
      holder?.node === node.name && holder.incarnation === node.incarnation;
    if (!holder || !mine || holder.released) {
      node.stewardships.delete(name);
      continue;
    }
    const known = node.stewardships.get(name);
    if (known) {
      const limited = setLimits(known, spec.coldLimit, spec.warmLimit);
      node.stewardships.set(name, limited);
      continue;
    }
    const released = before.get(group)?.spec.released ?? false;
    const notBefore = node.clock() + takeoverWait(holder, released);
    const awaited = holder.epoch > 1 ? node.membership.listed.keys() : [];
    node.stewardships.set(
      name,
      createStewardship(spec.coldLimit, spec.warmLimit, notBefore, awaited),
    );
  }
  for (const name of node.stewardships.keys()) {
    if (!find(node.configuration, 'Upstream', name))
      node.stewardships.delete(name);
  }
}

/** Answers asks for upstreams of which this node is the steward. */
export function answerAsks(
  node: RouterNode,
  asks: readonly CreditAsk[],
): CreditAnswer[] {
  const answers: CreditAnswer[] = [];
  const {listed} = node.membership;
  for (const ask of asks) {
    if (!holdsGroup(node, groupOf(ask.upstream))) continue;
    const known = node.stewardships.get(ask.upstream);
    if (!known) continue;
    const present = dropNodes(
      known,
      name => name !== node.name && !listed.has(name),
    );
    const {state, grant} = grantCredits(present, ask, node.clock());
    node.stewardships.set(ask.upstream, state);
    answers.push({upstream: ask.upstream, ...grant});
  }
  return answers;
}

/** Requests that wait now and that each upstream could serve, shared out. */
function waitingShares(node: RouterNode): Map<string, number> {
  const shares = new Map<string, number>();
  const views = viewUpstreams(node);
  const pools = new Set([...node.waiting.values()].map(({pool}) => pool));
  for (const pool of pools) {
    const need = poolNeed(pool);
    const fitting = views.filter(view =>
      fits(view, {
        ...need,
        failureDomain: '',
        avoid: new Set(),
        suspect: false,
      }),
    );
    const {length} = queueOf(node, pool).waiters;
    for (const view of fitting) {
      const share = Math.ceil(length / fitting.length);
      shares.set(view.name, (shares.get(view.name) ?? 0) + share);
    }
  }
  return shares;
}

/** What a pool's name says of its upstreams. */
export function poolNeed(pool: string): {version?: string; service?: string} {
  const at = pool.indexOf(':');
  const name = pool.slice(at + 1);
  return pool.startsWith('version:') ? {version: name} : {service: name};
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
  upstream.askSequence += 1;
  return {
    upstream: upstream.name,
    node: node.name,
    incarnation: node.incarnation,
    upstreamIncarnation: upstream.report?.incarnation ?? 0,
    knownLimit: upstream.grant?.limit ?? 0,
    sequence: upstream.askSequence,
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
    upstream.grant = {...answer, goodUntil: askedAt + answer.ttlMs};
    node.metrics.creditLimit.set({upstream: upstream.name}, answer.limit);
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
  const address = peerAddress(node, holder);
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
    const ask = askFor(node, upstream, waiting.get(upstream.name) ?? 0);
    byHolder.set(holder.node, [...(byHolder.get(holder.node) ?? []), ask]);
  }
  const rounds = [...byHolder].map(([holder, asks]) =>
    askHolder(node, holder, asks),
  );
  await Promise.all(rounds);
  node.wakeWaiting();
}
