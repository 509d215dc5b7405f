/**
 * The keys in the store that the router itself writes: its nodes, registered
 * under leases, the key that they share, the holder of roll-outs and its plans.
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
import {z} from 'zod';
import type {Subscriber} from './feed.js';
import {applyHolderChange, isHolderKey, PLAN_KEY_PREFIX} from './holder.js';
import type {EntryNode} from './node.js';
import {keepSessions} from './versions.js';

/** Time after which a registration expires without renewal, milliseconds. */
const LEASE_TTL_MS = 10_000;
const RENEW_INTERVAL_MS = 3_000;
const PEER_KEY_BYTES = 24;
/** Maximum random delay before a node writes the shared key, milliseconds. */
const MAX_KEY_JITTER_MS = 1_500;
const MEMBERS_PREFIX = `${STORE_KEY.router}nodes/`;
const PEER_KEY = `${STORE_KEY.router}peer-key`;

const MemberEntry = z.object({address: z.string(), failureDomain: z.string()});
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
  registered: boolean;
}

function encodeMember(node: EntryNode): Buffer {
  const {peers: address, failureDomain} = node.settings;
  return Buffer.from(JSON.stringify({address, failureDomain}));
}

async function register(
  node: EntryNode,
  registration: Registration,
): Promise<void> {
  if (registration.lease === undefined) {
    const granted = await grantLease(node.keyspace, LEASE_TTL_MS);
    if (granted.isErr()) return;
    registration.lease = granted.value.lease;
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

/** Creates the key that the nodes share, unless another node has done so. */
async function createPeerKey(node: EntryNode): Promise<void> {
  if (node.peers.key !== undefined) return;
  // A random delay, so that not all nodes that start together write the key.
  await wait(node.random() * MAX_KEY_JITTER_MS);
  if (node.peers.key !== undefined) return;
  const value = Buffer.from(randomBytes(PEER_KEY_BYTES).toString('hex'));
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
  await createPeerKey(node);
  if (!registration.registered) return register(node, registration);
  const renewed = await renewLease(node.keyspace, registration.lease ?? 0);
  if (renewed.isErr() || renewed.value) return;
  node.log.warn('registration expired; registering again');
  registration.lease = undefined;
  registration.registered = false;
  await register(node, registration);
}

/** Keeps the node registered until it stops. */
export function keepRegistered(node: EntryNode): void {
  const registration: Registration = {registered: false};
  const running = repeat(
    RENEW_INTERVAL_MS,
    () => renewRegistration(node, registration),
    error => node.log.error({error: String(error)}, 'registration failed'),
  );
  registerResource(node.manager, 'registration', async () => {
    void running.end();
    const {lease} = registration;
    if (lease !== undefined) await revokeLease(node.keyspace, lease);
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

function applyPlan(node: EntryNode, item: StoredItem): void {
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
  const known = node.versions.plans.get(service);
  if (known && known.revision >= item.revision) return;
  const {revision} = item;
  node.versions.plans.set(service, {plan, revision, seenAt: node.clock()});
  keepSessions(node, plan);
  node.log.info({plan, revision}, 'roll-out plan in force');
}

function applyRouterItem(node: EntryNode, item: StoredItem): void {
  if (item.key.startsWith(MEMBERS_PREFIX)) applyMember(node, item);
  else if (item.key.startsWith(PLAN_KEY_PREFIX)) applyPlan(node, item);
  else if (isHolderKey(item.key))
    applyHolderChange(node, item.value, item.revision);
  else if (item.key === PEER_KEY && item.value && !node.peers.key) {
    node.peers.key = item.value.toString('utf8');
    node.peers.client = createPeerClient(node.peers.key);
    node.onPeerKey(node.peers.key);
  }
}

/** Applies the keys that the router itself writes. */
export function routerSubscriber(node: EntryNode): Subscriber {
  return {
    prefix: STORE_KEY.router,
    reset(items) {
      node.members.clear();
      if (!items.some(({key}) => isHolderKey(key)))
        applyHolderChange(node, undefined, 0);
      for (const item of items) applyRouterItem(node, item);
    },
    change: item => applyRouterItem(node, item),
  };
}
