/** Detects upstreams that ended while they served requests of this node. */
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import {wait} from '@parsleyarch/lifecycle/process';
import * as net from 'node:net';
import type {Exchange} from './exchange.js';
import type {EntryNode} from './node.js';
import {isLeaving} from './notices.js';

/** Time after which a listener of a process that ended is closed as well. */
const LISTENER_CLOSE_MS = 20;
/** Time limit of the connection that shows whether an upstream has ended. */
const PROBE_TIMEOUT_MS = 200;

/** Name of one incarnation of an upstream. */
function incarnationKey({id, incarnation}: RegisteredUpstream): string {
  return `${id}@${incarnation}`;
}

/** Whether an address refuses connections; false if it does not respond. */
function refusesConnections(address: string): Promise<boolean> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const socket = net.connect({host, port: Number(port)});
    const finish = (refused: boolean) => {
      socket.destroy();
      resolve(refused);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => finish(false));
    socket.once('connect', () => finish(false));
    socket.once('error', error =>
      finish('code' in error && error.code === 'ECONNREFUSED'),
    );
  });
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

async function probe(
  node: EntryNode,
  upstream: RegisteredUpstream,
): Promise<boolean> {
  if (!isExpectedToRun(node, upstream)) return false;
  await wait(LISTENER_CLOSE_MS);
  return refusesConnections(upstream.address);
}

/** Probes an upstream; requests that break off at the same time share a probe. */
function hasEnded(
  node: EntryNode,
  upstream: RegisteredUpstream,
): Promise<boolean> {
  const key = incarnationKey(upstream);
  const running = node.crashes.probes.get(key);
  if (running) return running;
  const started = probe(node, upstream).finally(() =>
    node.crashes.probes.delete(key),
  );
  node.crashes.probes.set(key, started);
  return started;
}

/** What a node knows of upstreams that ended. */
export interface Crashes {
  /** Probes in progress, by incarnation of the upstream. */
  readonly probes: Map<string, Promise<boolean>>;
}

export function createCrashes(): Crashes {
  return {probes: new Map()};
}

/**
 * Called when an upstream closes the connection of a request before the end of its
 * answer. A closed connection alone is no crash: it may be reset, or the answer
 * be truncated, while the upstream goes on serving others.
 */
export async function recordBrokenAnswer(
  node: EntryNode,
  exchange: Exchange,
  upstream: RegisteredUpstream,
): Promise<void> {
  if (!(await hasEnded(node, upstream))) return;
  const {caller, service, route, customer, body} = exchange;
  node.metrics.crashes.inc({service});
  node.logDecision('upstream ended', {
    requestId: caller.attemptId,
    upstream: upstream.id,
    incarnation: upstream.incarnation,
    version: upstream.version,
    service,
    route: route.name,
    customer: customer?.name,
    bodyBytes: body.length,
    promptSegments: caller.promptSegments.map(({id}) => id),
  });
}
