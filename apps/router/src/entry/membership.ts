/**
 * The keys in the store that the router itself writes: its nodes, registered
 * under leases, the key that they share, the holder of roll-outs and its plans, and
 * the culprits of crashes.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {closePeerClient, createPeerClient} from '@parsleyarch/peer/client';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {hashName} from '@parsleyarch/policy/rendezvous';
import type {RolloutPlan} from '@parsleyarch/policy/rollout-plan';
import {
  commitTransaction,
  revokeLease,
  grantLease,
  renewLease,
  type StoredItem,
} from '@parsleyarch/store/keyspace';
import {randomBytes} from 'node:crypto';
import * as z from 'zod';
import {
  applyCulprit,
  CULPRITS_PREFIX,
  resetCulprits,
} from './culprit-records.js';
import type {Subscriber} from './feed.js';
import {applyHolderChange, isHolderKey, PLAN_KEY_PREFIX} from './holder.js';
import type {EntryNode} from './node.js';
import {knownEra, removeMissing} from './restoration.js';
import {applyPlan, markMissingPlans} from './versions.js';

/** Time after which a registration expires without renewal, milliseconds. */
const LEASE_TTL_MS = 10_000;
const RENEW_INTERVAL_MS = 3_000;
const PEER_KEY_BYTES = 24;
/** Maximum random delay before a node writes the shared key, milliseconds. */
const MAX_KEY_JITTER_MS = 1_500;
/** Time in which requests are served before the library for peers is loaded. */
const PEER_LOADING_DELAY_MS = 50;
const MEMBERS_PREFIX = `${STORE_KEY.router}nodes/`;
const PEER_KEY = `${STORE_KEY.router}peer-key`;

const MemberEntry = z.object({
  address: z.string(),
  delegation: z.string().optional(),
  failureDomain: z.string(),
  cores: z.number().positive().optional().catch(undefined),
});
const PlanEntry = z.object({
  order: z.number(),
  service: z.string(),
  target: z.string(),
  phase: z.enum(['waiting', 'canary', 'ramp', 'complete', 'reverted']),
  share: z.number(),
  sequence: z.number(),
  elapsedMs: z.number(),
});

interface Registration {
  lease?: number;
  /** Era of the store in which the lease was granted. */
  era: number;
  registered: boolean;
}

function encodeMember(node: EntryNode): Buffer {
  const {peers: address, delegation, failureDomain, machine} = node.settings;
  const cores =
    machine.processorShare && machine.processorShare * (machine.cores ?? 1);
  const entry = {address, delegation, failureDomain, cores};
  return Buffer.from(JSON.stringify(entry));
}

async function register(
  node: EntryNode,
  registration: Registration,
): Promise<void> {
  if (registration.lease === undefined) {
    const granted = await grantLease(node.keyspace, LEASE_TTL_MS);
    if (granted.isErr()) return;
    registration.lease = granted.value.lease;
    registration.era = node.keyspace.era;
  }
  const {lease} = registration;
  const key = MEMBERS_PREFIX + node.settings.node;
  const written = await commitTransaction(node.keyspace, {
    expected: [],
    writes: [{key, value: encodeMember(node), lease}],
    removed: [],
  });
  registration.registered = written.isOk() && written.value !== undefined;
  if (written.isOk() && written.value === undefined)
    registration.lease = undefined;
}

/**
 * Writes the key that the nodes share if the store lacks it, at the first start
 * of all nodes or after a restoration.
 */
async function ensurePeerKey(node: EntryNode): Promise<void> {
  if (node.feed.items.has(PEER_KEY)) return;
  // A random delay, so that not all nodes that start together write the key.
  await wait(node.random() * MAX_KEY_JITTER_MS);
  if (node.feed.items.has(PEER_KEY)) return;
  const newKey = randomBytes(PEER_KEY_BYTES).toString('hex');
  const value = Buffer.from(node.peers.key ?? newKey);
  await commitTransaction(node.keyspace, {
    expected: [{key: PEER_KEY, revision: 0}],
    writes: [{key: PEER_KEY, value}],
    removed: [],
  });
}

async function renewRegistration(
  node: EntryNode,
  registration: Registration,
): Promise<void> {
  await ensurePeerKey(node);
  if (registration.era < knownEra(node)) {
    // The store was restored: the lease is gone, and its ID may be given again.
    registration.lease = undefined;
    registration.registered = false;
  }
  if (!registration.registered) return register(node, registration);
  const renewed = await renewLease(node.keyspace, registration.lease ?? 0);
  if (renewed.isErr() || renewed.value) return;
  node.log.warn('registration expired; registering again');
  registration.lease = undefined;
  registration.registered = false;
  await register(node, registration);
}

/** Keeps the node registered from the first full read until it stops. */
export function keepRegistered(
  node: EntryNode,
  firstRead: Promise<void>,
): void {
  const registration: Registration = {registered: false, era: 0};
  const running = repeat(
    RENEW_INTERVAL_MS,
    async () => {
      // Before it, the key that the nodes share would seem to be missing.
      await firstRead;
      await renewRegistration(node, registration);
    },
    error => node.log.error({error: String(error)}, 'registration failed'),
  );
  registerResource(node.manager, 'registration', async () => {
    void running.end();
    const {lease, era} = registration;
    if (lease !== undefined && era === knownEra(node))
      await revokeLease(node.keyspace, lease);
    if (node.peers.client) closePeerClient(node.peers.client);
  });
}

function parseEntry<T>(schema: z.ZodType<T>, value: Buffer): T | undefined {
  try {
    return schema.parse(JSON.parse(value.toString('utf8')));
  } catch {
    return undefined;
  }
}

function applyMember(node: EntryNode, {key, value}: StoredItem): void {
  const name = key.slice(MEMBERS_PREFIX.length);
  const member = value && parseEntry(MemberEntry, value);
  if (member) node.members.set(name, {name, digest: hashName(name), ...member});
  else node.members.delete(name);
  node.peakMemberCount = Math.max(node.peakMemberCount, node.members.size);
}

function applyPlanItem(node: EntryNode, item: StoredItem): void {
  const service = item.key.slice(PLAN_KEY_PREFIX.length);
  const plan: RolloutPlan | undefined =
    item.value && parseEntry(PlanEntry, item.value);
  if (!plan) {
    node.versions.plans.delete(service);
    node.log.warn(
      {key: item.key},
      'roll-out plan removed, or cannot be decoded',
    );
    return;
  }
  applyPlan(node, plan, item.revision);
}

function applyRouterItem(node: EntryNode, item: StoredItem): void {
  if (item.key.startsWith(MEMBERS_PREFIX)) applyMember(node, item);
  else if (item.key.startsWith(PLAN_KEY_PREFIX)) applyPlanItem(node, item);
  else if (item.key.startsWith(CULPRITS_PREFIX)) applyCulprit(node, item);
  else if (isHolderKey(item.key))
    applyHolderChange(node, item.value, item.revision);
  else if (item.key === PEER_KEY && item.value)
    void applyPeerKey(node, item.value.toString('utf8'));
}

async function applyPeerKey(node: EntryNode, key: string): Promise<void> {
  const {peers} = node;
  if (peers.key === key) return;
  const isFirst = peers.key === undefined;
  peers.key = key;
  // Only possible after a restoration, when a new node wrote another key first.
  if (!isFirst) node.log.warn('the key that the nodes share has changed');
  // The library takes longer to load than requests that wait take to be sent.
  if (isFirst) await wait(PEER_LOADING_DELAY_MS);
  const client = await createPeerClient(key);
  if (node.manager.isStopping || peers.key !== key)
    return closePeerClient(client);
  if (peers.client) closePeerClient(peers.client);
  peers.client = client;
  if (isFirst) node.onPeerKey();
}

/** Applies the keys that the router itself writes. */
export function routerSubscriber(node: EntryNode): Subscriber {
  return {
    prefix: STORE_KEY.router,
    reset(items) {
      const keys = new Set(items.map(({key}) => key));
      for (const name of [...node.members.keys()]) {
        const key = MEMBERS_PREFIX + name;
        const remove = () => void node.members.delete(name);
        if (!keys.has(key)) removeMissing(node, key, remove);
      }
      const planKeys = [...keys].filter(key => key.startsWith(PLAN_KEY_PREFIX));
      markMissingPlans(
        node,
        new Set(planKeys.map(key => key.slice(PLAN_KEY_PREFIX.length))),
      );
      if (!items.some(({key}) => isHolderKey(key)))
        applyHolderChange(node, undefined, 0);
      resetCulprits(
        node,
        items.filter(({key}) => key.startsWith(CULPRITS_PREFIX)),
      );
      for (const item of items) applyRouterItem(node, item);
    },
    change: item => applyRouterItem(node, item),
  };
}
