/**
 * Allocators: each group of upstreams has one node, its holder, that grants the
 * credits. One more group, `control`, has no upstreams; its holder is the
 * controller. A stopping holder hands its groups over.
 */
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

/** Number of groups into which upstreams are divided. */
const GROUP_COUNT = 16;
/**
 * The group whose holder, the controller, places versions, advances roll-outs
 * and writes snapshots.
 */
export const CONTROL_GROUP = 'control';
/** Margin for clock drift and call durations when a group is taken over. */
const TAKEOVER_MARGIN_MS = 500;
const HANDOVER_TIMEOUT_MS = 500;
/** Time after which a former holder that is partitioned has stopped acting. */
export const STALE_HOLDER_TIMEOUT_MS =
  MAX_CONFIRMATION_AGE_MS + TAKEOVER_MARGIN_MS;

type AllocatorChange = Change<'Allocator'>;

export function groupOf(upstream: string): string {
  return `group-${Math.floor(hashToUnitInterval(upstream) * GROUP_COUNT)}`;
}

/** The allocator resource of a group, which names the current holder. */
export function findAllocator(
  node: RouterNode,
  group: string,
): Resource<'Allocator'> | undefined {
  return findResource(node.configuration, 'Allocator', group);
}

/** Whether this node holds a group and its configuration is not stale. */
export function holdsGroup(node: RouterNode, group: string): boolean {
  const holder = findAllocator(node, group)?.spec;
  if (!holder || holder.released || node.stopping) return false;
  if (holder.node !== node.name || holder.incarnation !== node.incarnation)
    return false;
  return assessNodeFreshness(node) !== Freshness.stale;
}

function isHolderLive(node: RouterNode, holder: AllocatorSpec): boolean {
  if (holder.released) return false;
  if (holder.node === node.name) return holder.incarnation === node.incarnation;
  if (!node.membership.listed.has(holder.node)) return false;
  const received = node.membership.heartbeats.get(holder.node);
  // A node that has just started has not received all heartbeats yet.
  if (!received) return node.clock() - node.startedAt <= HEARTBEAT_TIMEOUT_MS;
  if (received.heartbeat.incarnation !== holder.incarnation) return false;
  return isLive(node.membership, holder.node, node.clock());
}

function listGroups(node: RouterNode): Set<string> {
  const groups = new Set([CONTROL_GROUP]);
  for (const {name} of listResources(node.configuration, 'Upstream'))
    groups.add(groupOf(name));
  return groups;
}

/** Takes over groups without a live holder for which this node ranks first. */
export async function acquireGroups(node: RouterNode): Promise<void> {
  if (node.stopping || assessNodeFreshness(node) !== Freshness.confirmed)
    return;
  const live = listLiveNodeNames(node);
  const changes = [];
  for (const group of listGroups(node)) {
    const holder = findAllocator(node, group);
    if (holder && isHolderLive(node, holder.spec)) continue;
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
    reason: result.isOk()
      ? 'the groups had no live holder'
      : result.error.message,
    groups: changes.map(change => change.name),
  });
}

function createHandover(
  node: RouterNode,
  group: string,
  epoch: number,
): Handover {
  const upstreams = [];
  for (const [upstream, state] of node.allocations) {
    if (groupOf(upstream) !== group) continue;
    const snapshot = snapshotAllocation(state, node.clock());
    if (snapshot) upstreams.push({upstream, ...snapshot});
  }
  return {group, epoch, upstreams};
}

/** Hands a group over to the next live node; releases it when there is none. */
async function handOver(
  node: RouterNode,
  group: string,
  {spec, revision}: Resource<'Allocator'>,
): Promise<AllocatorChange> {
  const others = listLiveNodeNames(node).filter(name => name !== node.name);
  const [successor] = rankCandidates(group, others);
  const heartbeat =
    successor && node.membership.heartbeats.get(successor)?.heartbeat;
  const address = successor && findPeerAddress(node, successor);
  const change = {kind: 'Allocator' as const, name: group, expect: revision};
  if (!heartbeat || !address)
    return {...change, spec: {...spec, released: true}};
  const epoch = spec.epoch + 1;
  const handover = createHandover(node, group, epoch);
  const timeout = HANDOVER_TIMEOUT_MS;
  await callPeer(node.peers, address, 'handOver', handover, timeout);
  const {incarnation} = heartbeat;
  return {
    ...change,
    spec: {node: successor, incarnation, epoch, released: false},
  };
}

/**
 * Hands all groups over on a planned stop. The node must be stopping already,
 * so that it grants nothing after the snapshots that it sends.
 */
export async function handOverGroups(node: RouterNode): Promise<void> {
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

/** Stores a stopping allocator's handover until this node holds the group. */
export function storeHandover(node: RouterNode, handover: Handover): void {
  node.handovers.set(handover.group, {handover, at: node.clock()});
}

/** Restores the allocation that the previous allocator handed over, if any. */
function restoreFromHandover(
  node: RouterNode,
  {name, spec}: Resource<'Upstream'>,
  epoch: number,
): Allocation | undefined {
  const known = node.handovers.get(groupOf(name));
  if (known?.handover.epoch !== epoch) return undefined;
  const snapshot = known.handover.upstreams.find(u => u.upstream === name);
  if (!snapshot) return undefined;
  return restoreAllocation(snapshot, known.at, spec.coldLimit, spec.warmLimit);
}

/**
 * Time that a new allocator waits before its first grant, so that the grants of
 * the previous one have expired. A previous one that did not release the group
 * may grant until its configuration is stale.
 */
function firstGrantDelayMs(holder: AllocatorSpec, released: boolean): number {
  if (holder.epoch <= 1) return 0;
  const expiryMs = GRANT_TTL_MS + TAKEOVER_MARGIN_MS;
  return released ? expiryMs : MAX_CONFIRMATION_AGE_MS + expiryMs;
}

/** The initial allocation of an upstream that this node has just taken over. */
function startAllocation(
  node: RouterNode,
  upstream: Resource<'Upstream'>,
  holder: AllocatorSpec,
  released: boolean,
): Allocation {
  const restored = restoreFromHandover(node, upstream, holder.epoch);
  if (restored) return restored;
  const {coldLimit, warmLimit} = upstream.spec;
  const notBefore = node.clock() + firstGrantDelayMs(holder, released);
  if (holder.epoch <= 1)
    return createAllocation(coldLimit, warmLimit, notBefore, []);
  const awaited = [...node.membership.listed.keys()];
  const unreachable = awaited.filter(
    name => !isLive(node.membership, name, node.clock()),
  );
  return createAllocation(
    coldLimit,
    warmLimit,
    notBefore,
    awaited,
    unreachable,
  );
}

/**
 * Updates the allocations to the configuration. Called after each change, with
 * the allocators before the change.
 */
export function syncAllocations(
  node: RouterNode,
  previousHolders: ReadonlyMap<string, Resource<'Allocator'>>,
): void {
  const managed = new Set<string>();
  for (const upstream of listResources(node.configuration, 'Upstream')) {
    const {name, spec} = upstream;
    const group = groupOf(name);
    const holder = findAllocator(node, group)?.spec;
    if (!holder || holder.released || holder.node !== node.name) continue;
    if (holder.incarnation !== node.incarnation) continue;
    managed.add(name);
    const known = node.allocations.get(name);
    const released = previousHolders.get(group)?.spec.released ?? false;
    const state = known
      ? setLimits(known, spec.coldLimit, spec.warmLimit)
      : startAllocation(node, upstream, holder, released);
    node.allocations.set(name, state);
  }
  for (const name of node.allocations.keys()) {
    if (!managed.has(name)) node.allocations.delete(name);
  }
}

/** Grants credits for upstreams whose allocator is this node; skips others. */
export function answerCreditAsks(
  node: RouterNode,
  asks: readonly CreditAsk[],
): CreditAnswer[] {
  const answers: CreditAnswer[] = [];
  const {listed} = node.membership;
  for (const ask of asks) {
    if (!holdsGroup(node, groupOf(ask.upstream))) continue;
    const known = node.allocations.get(ask.upstream);
    if (!known) continue;
    const pruned = dropNodes(
      known,
      name => name !== node.name && !listed.has(name),
    );
    const {state, grant} = grantCredits(pruned, ask, node.clock());
    node.allocations.set(ask.upstream, state);
    answers.push({upstream: ask.upstream, ...grant});
  }
  return answers;
}
