/** Starts an entry node, and stops it without cutting off requests. */
import {registerResource, stopAll} from '@parsleyarch/lifecycle/manager';
import {wait} from '@parsleyarch/lifecycle/process';
import {messageOf} from '@parsleyarch/errors/failure';
import {closePeerServer, listenForPeers} from '@parsleyarch/peer/server';
import {closeKeyspace} from '@parsleyarch/store/keyspace';
import type {Server} from 'node:http';
import {mergeCrashes} from './crashes.js';
import {keepCulpritsRecorded} from './culprit-records.js';
import {operatorSubscriber, upstreamSubscriber} from './directory.js';
import {serveFollower} from './feed.js';
import {followStore} from './follow.js';
import {
  applyCallerLimits,
  createCallerListener,
  createDelegationListener,
  createMetricsListener,
  createReadinessListener,
  giveUpRequests,
  listen,
} from './ingress.js';
import {answerConsultation, runRollouts} from './holder.js';
import {collectLoad, shareLoads} from './load-exchange.js';
import {measurePressure} from './pressure.js';
import {probeWhileCutOff} from './reachability.js';
import {keepRegistered, routerSubscriber} from './membership.js';
import {probeForPeer} from './end-probes.js';
import {createEntryNode, type EntryNode} from './node.js';
import type {EntrySettings} from './settings.js';

/** Time in which two readiness probes of the balancer fail, milliseconds. */
const BALANCER_LAG_MS = 2_200;
/** Time of the grace period that is reserved for closing, milliseconds. */
const CLOSING_MARGIN_MS = 300;
const DRAIN_POLL_MS = 50;
/** Time in which the last answers are written before connections are closed. */
const FLUSH_MS = 100;

/** An entry node with its lifecycle. */
export interface Entry {
  readonly node: EntryNode;
  /** Resolves once the node serves callers. */
  start(): Promise<void>;
  /** Stops gracefully; resolves once all of its resources are closed. */
  stop(): Promise<void>;
}

function registerListener(node: EntryNode, name: string, server: Server): void {
  registerResource(node.manager, name, () => {
    server.close();
    server.closeAllConnections();
  });
}

/**
 * Stops serving in order: reports that the node is not ready, gives the
 * balancer time to notice, refuses new connections and requests, and waits for
 * running requests until the grace period ends.
 */
async function drain(
  node: EntryNode,
  listeners: readonly Server[],
): Promise<void> {
  const graceMs = node.settings.stop.graceSeconds * 1_000;
  const refusesFrom = node.clock() + BALANCER_LAG_MS;
  const endsAt = node.clock() + graceMs - CLOSING_MARGIN_MS;
  node.stopping = true;
  node.stop = {refusesFrom, endsAt};
  node.log.info({active: node.active}, 'stopping');
  await wait(BALANCER_LAG_MS);
  for (const listener of listeners) {
    listener.close();
    listener.closeIdleConnections();
  }
  while (node.active > 0 && node.clock() < endsAt) await wait(DRAIN_POLL_MS);
  if (node.active > 0) {
    node.log.error(
      {active: node.active},
      'grace period ended; giving up running requests',
    );
    giveUpRequests(node);
    await wait(FLUSH_MS);
  }
  for (const listener of listeners) listener.closeAllConnections();
}

async function servePeers(node: EntryNode): Promise<void> {
  const currentKey = () => node.peers.key ?? '';
  try {
    const server = await listenForPeers(node.settings.peers, currentKey, {
      consult: consultation => answerConsultation(node, consultation),
      shareLoad: report => collectLoad(node, report),
      followChanges: request => serveFollower(node, request),
      announceCrashes: report => {
        mergeCrashes(node, report);
        return {};
      },
      probeUpstream: probed => probeForPeer(node, probed),
    });
    registerResource(node.manager, 'peer-listener', () =>
      closePeerServer(server),
    );
  } catch (thrown) {
    node.log.error({error: messageOf(thrown)}, 'cannot listen for peers');
  }
}

/** Opens the listeners that need no configuration; requests wait for the first one. */
async function openListeners(node: EntryNode): Promise<Server[]> {
  const {settings} = node;
  const ingress = createCallerListener(node);
  const delegation = createDelegationListener(node);
  const readiness = createReadinessListener(node);
  const metrics = createMetricsListener(node);
  registerListener(node, 'readiness-listener', readiness);
  registerListener(node, 'metrics-listener', metrics);
  const listeners = [ingress, delegation];
  node.onConfiguration = table => {
    for (const listener of listeners) applyCallerLimits(listener, table);
  };
  await Promise.all([
    listen(ingress, settings.callers),
    listen(delegation, settings.delegation),
    listen(readiness, settings.readiness),
    listen(metrics, settings.metrics),
  ]);
  return listeners;
}

async function start(node: EntryNode): Promise<void> {
  const {manager} = node;
  node.log.info({incarnation: node.incarnation}, 'starting');
  registerResource(manager, 'store', () => closeKeyspace(node.keyspace));
  node.onPeerKey = () => void servePeers(node);
  node.feed.subscribers.push(
    routerSubscriber(node),
    operatorSubscriber(node),
    upstreamSubscriber(node),
  );
  // The store answers while the listeners open.
  const firstRead = followStore(node);
  const listeners = await openListeners(node);
  measurePressure(node, listeners);
  keepRegistered(node, firstRead);
  runRollouts(node);
  shareLoads(node);
  probeWhileCutOff(node);
  keepCulpritsRecorded(node);
  // Registered last, hence stopped first: requests end before anything else.
  registerResource(manager, 'callers', () => drain(node, listeners));
  await firstRead;
  node.serving = true;
  node.log.info(
    {configuration: node.routes?.table.version, upstreams: node.upstreams.size},
    'serving',
  );
}

/** Creates an entry node from its settings; nothing runs before its start. */
export function createEntry(settings: EntrySettings): Entry {
  const node = createEntryNode(settings);
  return {node, start: () => start(node), stop: () => stopAll(node.manager)};
}
