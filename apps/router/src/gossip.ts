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
import {z} from 'zod';
import {fetchFromPeer} from './config.js';
import type {RouterNode} from './node.js';

/** Peers that a node asks in each round. */
const FANOUT = 3;
const BEAT_TIMEOUT_MS = 400;
const VM_LIST_TIMEOUT_MS = 1_000;
const MAX_VM_LIST_BYTES = 1 << 20;

const VmList = z.object({
  vms: z.array(
    z.object({
      node: z.string(),
      address: z.string(),
      failureDomain: z.string(),
      state: z.enum(['live', 'leaving']),
      /** What runs there: a router node, or an upstream. */
      role: z.enum(['entry', 'upstream']).default('entry'),
    }),
  ),
});

type PlatformVm = z.infer<typeof VmList>['vms'][number];

/** This node's own heartbeat. */
function ownBeat(node: RouterNode): Heartbeat {
  node.beatSequence += 1;
  const age = node.clock() - node.tail.confirmedAt;
  return {
    node: node.name,
    incarnation: node.incarnation,
    sequence: node.beatSequence,
    revision: node.configuration.revision,
    confirmedAgeMs: Math.min(Math.round(age), 0xffff_ffff),
    storeReachable: node.tail.storeReachable,
    stopping: node.stopping,
    ageMs: 0,
  };
}

/** Everything that a node tells a peer which asks. */
export function beatsToTell(node: RouterNode): Heartbeat[] {
  return [ownBeat(node), ...collectHeartbeats(node.membership, node.clock())];
}

function pickPeers(node: RouterNode): string[] {
  const others = [...node.membership.listed.keys()];
  const picked: string[] = [];
  while (picked.length < FANOUT && others.length > 0) {
    const index = Math.floor(node.random() * others.length);
    picked.push(...others.splice(index, 1));
  }
  return picked;
}

async function askPeer(node: RouterNode, peer: string): Promise<void> {
  const address = node.membership.listed.get(peer)?.address;
  if (!address) return;
  const askedAt = node.clock();
  const answer = await callPeer(
    node.peers,
    address,
    'beats',
    {},
    BEAT_TIMEOUT_MS,
  );
  if (answer.isErr()) return;
  node.membership = mergeHeartbeats(
    node.membership,
    answer.value.beats,
    askedAt,
  );
  const told = answer.value.beats.find(beat => beat.node === peer);
  if (told && told.revision > node.configuration.revision)
    await fetchFromPeer(node, peer);
}

/** Asks every listed peer once, so that a new node knows who is there. */
export async function meetPeers(node: RouterNode): Promise<void> {
  const peers = [...node.membership.listed.keys()];
  await Promise.all(peers.map(peer => askPeer(node, peer)));
}

/** One round: asks a few peers for all the heartbeats that they know. */
export async function beatStep(node: RouterNode): Promise<void> {
  await Promise.all(pickPeers(node).map(peer => askPeer(node, peer)));
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

/** Takes over the platform's VM list; keeps the old one when it is away. */
export async function vmListStep(node: RouterNode): Promise<void> {
  const vms = await readVmList(node);
  if (vms.isErr()) {
    node.log.warn({error: vms.error.message}, 'VM list is away');
    return;
  }
  const entries = vms.value.filter(({role}) => role === 'entry');
  node.membership = applyVmList(node.membership, entries);
  const leaving = vms.value.filter(
    ({role, state}) => role === 'upstream' && state === 'leaving',
  );
  node.leavingVms = new Set(leaving.map(vm => vm.node));
  const addresses = [...node.membership.listed.values()].map(vm => vm.address);
  pruneConnections(node.peers, new Set(addresses));
}
