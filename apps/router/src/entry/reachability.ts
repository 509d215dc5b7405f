/**
 * Whether this node can connect to the upstreams of a service. While it cannot, it
 * probes them, and tells other nodes, which then do not delegate requests to it.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import {repeat} from '@parsleyarch/lifecycle/process';
import type {CutOffNode} from '@parsleyarch/peer/messages';
import {areUnreachable} from '@parsleyarch/policy/reachability';
import type {RegisteredUpstream} from '@parsleyarch/resource/routing';
import type * as http from 'node:http';
import type {Socket} from 'node:net';
import type {EntryNode, UpstreamState} from './node.js';
import {reportPressure} from './pressure.js';

const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 400;
/** Upstreams of a service that are probed at the same time. */
const PROBE_COUNT = 3;

/** What this node knows of its own connections, by service. */
export interface Reachability {
  /** Services whose upstreams this node cannot connect to. */
  readonly cutOff: Set<string>;
  /** Services whose upstreams are being probed. */
  readonly probing: Set<string>;
}

export function createReachability(): Reachability {
  return {cutOff: new Set(), probing: new Set()};
}

/** Whether this node cannot connect to the upstreams of a service. */
export function isCutOff(node: EntryNode, service: string): boolean {
  return node.reachability.cutOff.has(service);
}

function listUpstreams(node: EntryNode, service: string): UpstreamState[] {
  return [...node.upstreams.values()].filter(
    ({registered}) => registered.service === service && !registered.draining,
  );
}

/** This node if it is cut off from a service or under pressure, for other nodes. */
export function reportCutOff(node: EntryNode): CutOffNode[] {
  const services = [...node.reachability.cutOff];
  const pressure = reportPressure(node);
  if (services.length === 0 && !pressure) return [];
  return [{node: node.settings.node, services, ...pressure}];
}

/** Failures of connections that this node has lost say nothing of upstreams. */
function forgetFailures(state: UpstreamState): void {
  state.failures = [];
  state.backoffUntil = 0;
  state.backoffMs = 0;
}

/** Records an established connection to an upstream. */
export function recordConnection(node: EntryNode, state: UpstreamState): void {
  const {service} = state.registered;
  state.connectedAt = node.clock();
  if (!node.reachability.cutOff.delete(service)) return;
  for (const other of listUpstreams(node, service)) forgetFailures(other);
  node.log.info({service}, 'upstreams of the service reached again');
}

/**
 * Records a connection to an upstream that could not be established. Others are
 * probed at once: a single upstream may have ended.
 */
export function recordFailedConnection(
  node: EntryNode,
  state: UpstreamState,
  startedAt: number,
): void {
  state.failedAt = Math.max(state.failedAt, startedAt);
  const {service} = state.registered;
  if (!isCutOff(node, service)) void findCut(node, service);
}

/** Opens a connection to an upstream without sending anything. */
export function openConnection(agent: http.Agent, address: string): Socket {
  const [host, port] = address.split(':');
  const options = {host, port: Number(port)};
  return agent.createConnection(options, () => {}) as Socket;
}

/** Opens a connection to an upstream and closes it; returns whether it opened. */
export function canConnect(
  agent: http.Agent,
  address: string,
): Promise<boolean> {
  return new Promise(resolve => {
    const socket = openConnection(agent, address);
    const finish = (connected: boolean) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(connected);
    };
    const timer = setTimeout(() => finish(false), PROBE_TIMEOUT_MS);
    socket.once('connect', () => finish(true));
    socket.once('error', () => finish(false));
  });
}

async function probe(node: EntryNode, state: UpstreamState): Promise<boolean> {
  const startedAt = node.clock();
  const connected = await canConnect(node.agent, state.registered.address);
  if (connected) recordConnection(node, state);
  else state.failedAt = Math.max(state.failedAt, startedAt);
  return connected;
}

/** Whether this node reaches another upstream, or there is none. */
export async function reachesOthers(
  node: EntryNode,
  {id, service}: RegisteredUpstream,
): Promise<boolean> {
  const others = [...node.upstreams.values()].filter(
    ({registered}) => registered.id !== id && !registered.draining,
  );
  if (others.length === 0) return true;
  // Upstreams of one service may end together.
  const isOther = ({registered}: UpstreamState) =>
    Number(registered.service !== service);
  others.sort((a, b) => isOther(b) - isOther(a) || a.failedAt - b.failedAt);
  const probes = others.slice(0, PROBE_COUNT).map(async state => {
    if (!(await probe(node, state))) throw new Error('not reached');
  });
  // The first one that connects decides; others may not respond at all.
  return Promise.any(probes).then(
    () => true,
    () => false,
  );
}

/** Probes those upstreams of a service that have not failed for longest. */
async function probeService(node: EntryNode, service: string): Promise<void> {
  const states = listUpstreams(node, service);
  states.sort((a, b) => a.failedAt - b.failedAt);
  const probed = states.slice(0, PROBE_COUNT);
  await Promise.all(probed.map(state => probe(node, state)));
}

/** Finds out by probes whether this node is cut off from a service. */
async function findCut(node: EntryNode, service: string): Promise<void> {
  const {cutOff, probing} = node.reachability;
  if (probing.has(service)) return;
  probing.add(service);
  try {
    await probeService(node, service);
  } finally {
    probing.delete(service);
  }
  if (cutOff.has(service)) return;
  if (!areUnreachable(listUpstreams(node, service))) return;
  cutOff.add(service);
  node.log.warn({service}, 'no upstream of the service can be reached');
  // A node that has lost one service may have lost all of them.
  const services = [...node.upstreams.values()].map(
    ({registered}) => registered.service,
  );
  for (const other of new Set(services)) {
    if (!cutOff.has(other)) void findCut(node, other);
  }
}

/** Probes the upstreams of services that this node is cut off from. */
export function probeWhileCutOff(node: EntryNode): void {
  const running = repeat(
    PROBE_INTERVAL_MS,
    async () => {
      const services = [...node.reachability.cutOff];
      await Promise.all(services.map(service => probeService(node, service)));
    },
    error => node.log.error({error: String(error)}, 'probing failed'),
  );
  registerResource(node.manager, 'reachability', () => void running.end());
}
