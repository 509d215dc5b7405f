/** Allocators: who grants the credits of which upstreams, and the hand-over. */
import {callPeer} from '@parsleyarch/peer/client';
import type {
  CreditAnswer,
  CreditAsk,
  Handover,
} from '@parsleyarch/peer/messages';
import {
  createAllocation,
  dropNodes,
  grantCredits,
  GRANT_TTL_MS,
  setLimits,
  type Allocation,
} from '@parsleyarch/protocol/credit';
import {
  MAX_CONFIRMATION_AGE_MS,
  Freshness,
} from '@parsleyarch/protocol/freshness';
import {
  restoreAllocation,
  snapshotAllocation,
} from '@parsleyarch/protocol/handover';
import type {Change} from '@parsleyarch/protocol/log';
import {HEARTBEAT_TIMEOUT_MS, isLive} from '@parsleyarch/protocol/membership';
import {
  hashToUnitInterval,
  rankCandidates,
} from '@parsleyarch/protocol/rendezvous';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import type {Resource, AllocatorSpec} from '@parsleyarch/resource/schema';
import {randomUUID} from 'node:crypto';
import {appendProposal} from './config.js';
import {recordDecision} from './decisions.js';
import {
  assessNodeFreshness,
  listLiveNodeNames,
  findPeerAddress,
  type RouterNode,
} from './node.js';

/** Groups into which upstreams are divided; each has one allocator. */
const GROUPS = 16;
/** The group whose holder steps roll-outs and writes snapshots. */
export const CONTROL_GROUP = 'control';
/** Allowance for clocks and calls in the wait of a new allocator. */
const TAKEOVER_SLACK_MS = 500;
const HANDOVER_TIMEOUT_MS = 500;
/** Time after which a former holder that was cut off acts no more. */
export const TAKEOVER_WAIT_MS = MAX_CONFIRMATION_AGE_MS + TAKEOVER_SLACK_MS;

type AllocatorChange = Change<'Allocator'>;

/** The group of an upstream. */
export function groupOf(upstream: string): string {
  return `group-${Math.floor(hashToUnitInterval(upstream) * GROUPS)}`;
}

/** The present holder of a group. */
export function holderOf(
  node: RouterNode,
  group: string,
): Resource<'Allocator'> | undefined {
  return findResource(node.configuration, 'Allocator', group);
}

/** Whether this node holds a group and may act on that. */
export function holdsGroup(node: RouterNode, group: string): boolean {
  const holder = holderOf(node, group)?.spec;
  if (!holder || holder.released || node.stopping) return false;
  if (holder.node !== node.name || holder.incarnation !== node.incarnation)
    return false;
  return assessNodeFreshness(node) !== Freshness.stale;
}

function isHolderUp(node: RouterNode, holder: AllocatorSpec): boolean {
  if (holder.released) return false;
  if (holder.node === node.name) return holder.incarnation === node.incarnation;
  if (!node.membership.listed.has(holder.node)) return false;
  const heard = node.membership.heartbeats.get(holder.node);
  // A node that has only just started has not yet had time to hear everybody.
  if (!heard) return node.clock() - node.startedAt <= HEARTBEAT_TIMEOUT_MS;
  if (heard.heartbeat.incarnation !== holder.incarnation) return false;
  return isLive(node.membership, holder.node, node.clock());
}

function neededGroups(node: RouterNode): Set<string> {
  const groups = new Set([CONTROL_GROUP]);
  for (const {name} of listResources(node.configuration, 'Upstream'))
    groups.add(groupOf(name));
  return groups;
}

/** Takes over groups without a holder for which this node comes first. */
export async function allocatorStep(node: RouterNode): Promise<void> {
  if (node.stopping || assessNodeFreshness(node) !== Freshness.confirmed)
    return;
  const live = listLiveNodeNames(node);
  const changes = [];
  for (const group of neededGroups(node)) {
    const holder = holderOf(node, group);
    if (holder && isHolderUp(node, holder.spec)) continue;
    if (rankCandidates(group, live)[0] !== node.name) continue;
    const spec: AllocatorSpec = {
      node: node.name,
      incarnation: node.incarnation,
      epoch: (holder?.spec.epoch ?? 0) + 1,
      released: false,
    };
    const expect = holder?.revision ?? 0;
    changes.push({kind: 'Allocator' as const, name: group, spec, expect});
  }
  if (changes.length === 0) return;
  const author = `node/${node.name}`;
  const result = await appendProposal(node, {
    changeId: randomUUID(),
    author,
    changes,
  });
  recordDecision(node, {
    decision: 'allocator',
    candidates: live,
    choice: node.name,
    reason: result.isOk() ? 'taken' : result.error.message,
    groups: changes.map(change => change.name),
  });
}

function handoverOf(node: RouterNode, group: string, epoch: number): Handover {
  const upstreams = [];
  for (const [upstream, state] of node.allocations) {
    if (groupOf(upstream) !== group) continue;
    const told = snapshotAllocation(state, node.clock());
    if (told) upstreams.push({upstream, ...told});
  }
  return {group, epoch, upstreams};
}

/** Hands one group to the next live node; gives it up when there is none. */
async function handOver(
  node: RouterNode,
  group: string,
  {spec, revision}: Resource<'Allocator'>,
): Promise<AllocatorChange> {
  const others = listLiveNodeNames(node).filter(name => name !== node.name);
  const [successor] = rankCandidates(group, others);
  const beat =
    successor && node.membership.heartbeats.get(successor)?.heartbeat;
  const address = successor && findPeerAddress(node, successor);
  const change = {kind: 'Allocator' as const, name: group, expect: revision};
  if (!beat || !address) return {...change, spec: {...spec, released: true}};
  const epoch = spec.epoch + 1;
  const handover = handoverOf(node, group, epoch);
  const timeout = HANDOVER_TIMEOUT_MS;
  await callPeer(node.peers, address, 'handOver', handover, timeout);
  const {incarnation} = beat;
  return {
    ...change,
    spec: {node: successor, incarnation, epoch, released: false},
  };
}

/**
 * Hands all groups over on a planned stop. The node must be stopping already,
 * so that it grants nothing after what it tells its successors.
 */
export async function leaveGroups(node: RouterNode): Promise<void> {
  const held = listResources(node.configuration, 'Allocator').filter(
    ({spec}) =>
      spec.node === node.name &&
      spec.incarnation === node.incarnation &&
      !spec.released,
  );
  if (held.length === 0) return;
  const changes = await Promise.all(
    held.map(allocator => handOver(node, allocator.name, allocator)),
  );
  const author = `node/${node.name}`;
  await appendProposal(node, {changeId: randomUUID(), author, changes});
}

/** Remembers what a leaving allocator tells; used once the group is ours. */
export function takeHandover(node: RouterNode, handover: Handover): void {
  node.handovers.set(handover.group, {handover, at: node.clock()});
}

/** The allocation that a leaving allocator handed over, if it did. */
function handedOver(
  node: RouterNode,
  {name, spec}: Resource<'Upstream'>,
  epoch: number,
): Allocation | undefined {
  const known = node.handovers.get(groupOf(name));
  if (known?.handover.epoch !== epoch) return undefined;
  const told = known.handover.upstreams.find(u => u.upstream === name);
  if (!told) return undefined;
  return restoreAllocation(told, known.at, spec.coldLimit, spec.warmLimit);
}

/** Time that a new allocator waits before its first grant. */
function takeoverWait(holder: AllocatorSpec, released: boolean): number {
  if (holder.epoch <= 1) return 0;
  const silence = GRANT_TTL_MS + TAKEOVER_SLACK_MS;
  return released ? silence : MAX_CONFIRMATION_AGE_MS + silence;
}

/** The first state of an allocation that this node has just been given. */
function beginAllocation(
  node: RouterNode,
  upstream: Resource<'Upstream'>,
  holder: AllocatorSpec,
  released: boolean,
): Allocation {
  const told = handedOver(node, upstream, holder.epoch);
  if (told) return told;
  const {coldLimit, warmLimit} = upstream.spec;
  const notBefore = node.clock() + takeoverWait(holder, released);
  if (holder.epoch <= 1)
    return createAllocation(coldLimit, warmLimit, notBefore, []);
  const awaited = [...node.membership.listed.keys()];
  const silent = awaited.filter(
    name => !isLive(node.membership, name, node.clock()),
  );
  return createAllocation(coldLimit, warmLimit, notBefore, awaited, silent);
}

/**
 * Keeps allocations in step with the configuration; called after each change
 * with the holders as they were before it.
 */
export function syncAllocations(
  node: RouterNode,
  before: ReadonlyMap<string, Resource<'Allocator'>>,
): void {
  const kept = new Set<string>();
  for (const upstream of listResources(node.configuration, 'Upstream')) {
    const {name, spec} = upstream;
    const group = groupOf(name);
    const holder = holderOf(node, group)?.spec;
    if (!holder || holder.released || holder.node !== node.name) continue;
    if (holder.incarnation !== node.incarnation) continue;
    kept.add(name);
    const known = node.allocations.get(name);
    const released = before.get(group)?.spec.released ?? false;
    const state = known
      ? setLimits(known, spec.coldLimit, spec.warmLimit)
      : beginAllocation(node, upstream, holder, released);
    node.allocations.set(name, state);
  }
  for (const name of node.allocations.keys()) {
    if (!kept.has(name)) node.allocations.delete(name);
  }
}

/** Answers asks for upstreams of which this node is the allocator. */
export function answerAsks(
  node: RouterNode,
  asks: readonly CreditAsk[],
): CreditAnswer[] {
  const answers: CreditAnswer[] = [];
  const {listed} = node.membership;
  for (const ask of asks) {
    if (!holdsGroup(node, groupOf(ask.upstream))) continue;
    const known = node.allocations.get(ask.upstream);
    if (!known) continue;
    const present = dropNodes(
      known,
      name => name !== node.name && !listed.has(name),
    );
    const {state, grant} = grantCredits(present, ask, node.clock());
    node.allocations.set(ask.upstream, state);
    answers.push({upstream: ask.upstream, ...grant});
  }
  return answers;
}
