/** Registers the node in the store under a lease, and learns of the others. */
import {own} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import {KEY} from '@parsleyarch/platform/names';
import {
  commit,
  endLease,
  grantLease,
  keepLease,
  type StoredItem,
} from '@parsleyarch/store/keyspace';
import type {Follower} from './follow.js';
import type {EntryNode} from './node.js';

/** Life of a registration without renewal, milliseconds. */
const LEASE_MS = 10_000;
const RENEW_MS = 3_000;
/** Longest wait of a watch, milliseconds. */
const WATCH_MS = 20_000;
const MEMBERS = `${KEY.own}nodes/`;

interface Registration {
  lease?: number;
  registered: boolean;
}

async function register(
  node: EntryNode,
  registration: Registration,
): Promise<void> {
  if (registration.lease === undefined) {
    const granted = await grantLease(node.keyspace, LEASE_MS);
    if (granted.isErr()) return;
    registration.lease = granted.value.lease;
  }
  const value = {address: node.settings.peers, incarnation: node.incarnation};
  const written = await commit(node.keyspace, {
    expected: [],
    writes: [
      {
        key: MEMBERS + node.settings.node,
        value: Buffer.from(JSON.stringify(value)),
        lease: registration.lease,
      },
    ],
    removed: [],
  });
  registration.registered = written.isOk() && written.value !== undefined;
  if (written.isOk() && written.value === undefined)
    registration.lease = undefined;
}

async function renew(
  node: EntryNode,
  registration: Registration,
): Promise<void> {
  if (!registration.registered) return register(node, registration);
  const kept = await keepLease(node.keyspace, registration.lease ?? 0);
  if (kept.isErr() || kept.value) return;
  node.log.warn('registration lapsed');
  registration.lease = undefined;
  registration.registered = false;
  await register(node, registration);
}

/** Keeps the node registered until it stops. */
export function keepRegistered(node: EntryNode): void {
  const registration: Registration = {registered: false};
  const running = repeat(
    RENEW_MS,
    () => renew(node, registration),
    error => node.log.error({error: String(error)}, 'registration failed'),
  );
  own(node.manager, 'registration', async () => {
    void running.end();
    const {lease} = registration;
    if (lease !== undefined) await endLease(node.keyspace, lease);
  });
}

function applyMember(node: EntryNode, {key, value}: StoredItem): void {
  const name = key.slice(MEMBERS.length);
  if (value) node.members.set(name, value.toString('utf8'));
  else node.members.delete(name);
  node.mostMembers = Math.max(node.mostMembers, node.members.size);
}

/** Follows the nodes that are registered. */
export function memberFollower(node: EntryNode): Follower {
  return {
    name: 'members',
    prefix: MEMBERS,
    waitMs: WATCH_MS,
    reset(items) {
      node.members.clear();
      for (const item of items) applyMember(node, item);
    },
    change: item => applyMember(node, item),
  };
}
