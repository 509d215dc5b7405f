/** Heartbeats between nodes and the platform's VM list. */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import {callPeer, pruneConnections} from '@parsleyarch/peer/client';
import {
  applyVmList,
  collectHeartbeats,
  mergeHeartbeats,
  type Heartbeat,
} from '@parsleyarch/protocol/membership';
import {readBody, sendRequest} from '@parsleyarch/upstream/exchange';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {fetchEntriesFromPeer} from './config.js';
import type {RouterNode} from './node.js';

/** Peers that a node contacts in each round. */
const FANOUT_PEER_COUNT = 3;
const HEARTBEAT_CALL_TIMEOUT_MS = 400;
const VM_LIST_TIMEOUT_MS = 1_000;
const MAX_VM_LIST_BYTES = 1 << 20;

const VmList = z.object({
  vms: z.array(
    z.object({
      node: z.string(),
      address: z.string(),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
      /**
       * What runs on the VM. `entry` is any VM that runs a router node, `upstream`
       * one that runs an upstream.
       */
      role: z.enum(['entry', 'upstream']).default('entry'),
    }),
  ),
});

type PlatformVm = z.infer<typeof VmList>['vms'][number];

function createHeartbeat(node: RouterNode): Heartbeat {
  node.heartbeatSequence += 1;
  const age = node.clock() - node.tail.confirmedAt;
  return {
    node: node.name,
    incarnation: node.incarnation,
    sequence: node.heartbeatSequence,
    revision: node.configuration.revision,
    confirmedAgeMs: Math.min(Math.round(age), 0xffff_ffff),
    storeReachable: node.tail.storeReachable,
    stopping: node.stopping,
    ageMs: 0,
  };
}

/**
 * Heartbeats sent to a peer that asks: this node's own and the latest known of
 * others.
 */
export function listHeartbeats(node: RouterNode): Heartbeat[] {
  return [
    createHeartbeat(node),
    ...collectHeartbeats(node.membership, node.clock()),
  ];
}

function pickPeers(node: RouterNode): string[] {
  const others = [...node.membership.listed.keys()];
  const picked: string[] = [];
  while (picked.length < FANOUT_PEER_COUNT && others.length > 0) {
    const index = Math.floor(node.random() * others.length);
    picked.push(...others.splice(index, 1));
  }
  return picked;
}

async function fetchHeartbeats(node: RouterNode, peer: string): Promise<void> {
  const address = node.membership.listed.get(peer)?.address;
  if (!address) return;
  const askedAt = node.clock();
  const answer = await callPeer(
    node.peers,
    address,
    'beats',
    {},
    HEARTBEAT_CALL_TIMEOUT_MS,
  );
  if (answer.isErr()) return;
  node.membership = mergeHeartbeats(
    node.membership,
    answer.value.beats,
    askedAt,
  );
  const peerHeartbeat = answer.value.beats.find(beat => beat.node === peer);
  if (peerHeartbeat && peerHeartbeat.revision > node.configuration.revision)
    await fetchEntriesFromPeer(node, peer);
}

/**
 * Fetches heartbeats from every listed peer once, so that a new node knows
 * which nodes are live.
 */
export async function contactAllPeers(node: RouterNode): Promise<void> {
  const peers = [...node.membership.listed.keys()];
  await Promise.all(peers.map(peer => fetchHeartbeats(node, peer)));
}

/**
 * Runs one gossip round: fetches all known heartbeats from a few random peers.
 */
export async function gossipHeartbeats(node: RouterNode): Promise<void> {
  await Promise.all(pickPeers(node).map(peer => fetchHeartbeats(node, peer)));
}

async function readVmList(
  node: RouterNode,
): Promise<Result<PlatformVm[], Failure>> {
  const answer = await sendRequest({
    url: new URL('/vms', node.settings.vmList.address),
    method: 'GET',
    headers: {},
    agent: http.globalAgent,
    idleMs: VM_LIST_TIMEOUT_MS,
  });
  if (answer.isErr()) return err(answer.error);
  const body = await readBody(answer.value, MAX_VM_LIST_BYTES);
  if (body.isErr()) return err(body.error);
  try {
    return ok(VmList.parse(JSON.parse(body.value.toString('utf8'))).vms);
  } catch (thrown) {
    return err(failure('upstream-invalid', messageOf(thrown)));
  }
}

/**
 * Fetches and applies the platform's VM list; keeps the previous one on
 * failure.
 */
export async function refreshVmList(node: RouterNode): Promise<void> {
  const vms = await readVmList(node);
  if (vms.isErr()) {
    node.log.warn(
      {error: vms.error.message},
      'VM list not available; keeping the previous one',
    );
    return;
  }
  const routerVms = vms.value.filter(({role}) => role === 'entry');
  node.membership = applyVmList(node.membership, routerVms);
  const leaving = vms.value.filter(
    ({role, state}) => role === 'upstream' && state === 'leaving',
  );
  node.leavingVms = new Set(leaving.map(vm => vm.node));
  const addresses = [...node.membership.listed.values()].map(vm => vm.address);
  pruneConnections(node.peers, new Set(addresses));
}
