/**
 * Finds out whether an upstream that closed a connection has ended. A node that reaches
 * no other upstream cannot tell an end from the loss of its own links, and asks others.
 */
import {wait} from '@parsleyarch/lifecycle/process';
import {callPeer} from '@parsleyarch/peer/client';
import {
  ProbeResult,
  type ProbeAnswer,
  type ProbedUpstream,
} from '@parsleyarch/peer/messages';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type {EntryNode, Member} from './node.js';
import {isLeaving} from './notices.js';
import {openConnection, reachesOthers} from './reachability.js';

/** Time after which a listener of a process that ended is closed as well. */
export const LISTENER_CLOSE_MS = 20;
/** Time limit of the connection that shows whether an upstream has ended. */
const PROBE_TIMEOUT_MS = 200;
/** The same for the answer of another node, which probes as well. */
const PEER_PROBE_TIMEOUT_MS = 300;
/** Nodes that are asked at the same time. */
const ASKED_NODE_COUNT = 3;

/** What has become of an upstream that closed a connection. */
export const Finding = {
  ended: 'ended',
  /** It was about to stop, or another one has taken its place. */
  notExpected: 'not expected to run',
  notRefused: 'refuses no connections',
  /** Another node can connect to it. */
  reachedByOthers: 'other nodes reach it',
  /** No node could tell. */
  unknown: 'no other upstream or node reached',
} as const;
export type Finding = (typeof Finding)[keyof typeof Finding];

function probe({agent}: EntryNode, address: string): Promise<ProbeResult> {
  return new Promise(resolve => {
    const socket = openConnection(agent, address);
    const finish = (result: ProbeResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(ProbeResult.unknown));
    socket.once('connect', () => finish(ProbeResult.accepted));
    socket.once('error', error => {
      const isRefused = 'code' in error && error.code === 'ECONNREFUSED';
      finish(isRefused ? ProbeResult.refused : ProbeResult.unknown);
    });
  });
}

/** Probes an upstream for another node. */
export async function probeForPeer(
  node: EntryNode,
  {upstream, incarnation}: ProbedUpstream,
): Promise<ProbeAnswer> {
  const registered = node.upstreams.get(upstream)?.registered;
  if (registered?.incarnation !== incarnation)
    return {result: ProbeResult.unknown};
  return {result: await probe(node, registered.address)};
}

/** Whether an upstream was expected to serve requests until now. */
function isExpectedToRun(
  node: EntryNode,
  upstream: RegisteredUpstream,
): boolean {
  const registered = node.upstreams.get(upstream.id)?.registered;
  if (registered?.incarnation !== upstream.incarnation) return false;
  return !registered.draining && !isLeaving(node, registered);
}

function drawMembers({members, settings, random}: EntryNode): Member[] {
  const others = [...members.values()].filter(
    ({name}) => name !== settings.node,
  );
  const drawn: Member[] = [];
  while (drawn.length < ASKED_NODE_COUNT && others.length > 0) {
    const index = Math.floor(random() * others.length);
    drawn.push(...others.splice(index, 1));
  }
  return drawn;
}

async function askOthers(
  node: EntryNode,
  {id, incarnation}: RegisteredUpstream,
): Promise<Finding> {
  const {client} = node.peers;
  const asked = drawMembers(node);
  if (asked.length === 0) return Finding.ended;
  if (!client) return Finding.unknown;
  const answers = await Promise.all(
    asked.map(({address}) =>
      callPeer(
        client,
        address,
        'probeUpstream',
        {upstream: id, incarnation},
        PEER_PROBE_TIMEOUT_MS,
      ),
    ),
  );
  const results = answers.map(answer => answer.isOk() && answer.value.result);
  if (results.includes(ProbeResult.accepted)) return Finding.reachedByOthers;
  return results.includes(ProbeResult.refused)
    ? Finding.ended
    : Finding.unknown;
}

/** Finds out whether an upstream that closed a connection has ended. */
export async function findEnd(
  node: EntryNode,
  upstream: RegisteredUpstream,
): Promise<Finding> {
  if (!isExpectedToRun(node, upstream)) return Finding.notExpected;
  await wait(LISTENER_CLOSE_MS);
  if ((await probe(node, upstream.address)) !== ProbeResult.refused)
    return Finding.notRefused;
  if (await reachesOthers(node, upstream)) return Finding.ended;
  return askOthers(node, upstream);
}
