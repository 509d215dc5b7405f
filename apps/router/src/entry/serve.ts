/** Starts an entry node, and stops it without cutting a request. */
import {registerResource, stopAll} from '@parsleyarch/lifecycle/manager';
import {wait} from '@parsleyarch/lifecycle/process';
import {messageOf} from '@parsleyarch/errors/failure';
import {closePeerServer, listenForPeers} from '@parsleyarch/peer/server';
import {closeKeyspace} from '@parsleyarch/store/keyspace';
import type {Server} from 'node:http';
import {orderSubscriber, upstreamSubscriber} from './directory.js';
import {serveFollower} from './feed.js';
import {followStore} from './follow.js';
import {
  applyCallerLimits,
  createCallerListener,
  createMetricsListener,
  createReadinessListener,
  listen,
} from './ingress.js';
import {answerConsultation, runRollouts} from './holder.js';
import {collectLoad, shareLoads} from './load.js';
import {keepRegistered, ownSubscriber} from './membership.js';
import {createEntryNode, type EntryNode} from './node.js';
import type {EntrySettings} from './settings.js';

/** Time for the balancer to miss two probes, milliseconds. */
const BALANCER_LAG_MS = 2_200;
/** Part of the grace that is kept for closing, milliseconds. */
const CLOSING_MS = 300;
const POLL_MS = 50;

/** An entry node and its life. */
export interface Entry {
  readonly node: EntryNode;
  /** Resolves once the node serves callers. */
  start(): Promise<void>;
  /** Stops gracefully; resolves when nothing of it is left. */
  stop(): Promise<void>;
}

function ownListener(node: EntryNode, name: string, server: Server): void {
  registerResource(node.manager, name, () => {
    server.close();
    server.closeAllConnections();
  });
}

/**
 * Leaves in order: unready, then no new connections once the balancer has seen
 * it, then no new requests, and last the answers that still run.
 */
async function drain(node: EntryNode, ingress: Server): Promise<void> {
  const endsAt = node.clock() + node.settings.stop.graceSeconds * 1_000;
  node.stopping = true;
  node.log.info({active: node.active}, 'stopping');
  await wait(BALANCER_LAG_MS);
  node.refusing = true;
  ingress.close();
  ingress.closeIdleConnections();
  while (node.active > 0 && node.clock() < endsAt - CLOSING_MS)
    await wait(POLL_MS);
  if (node.active > 0)
    node.log.error({active: node.active}, 'grace is over; requests are cut');
  ingress.closeAllConnections();
}

async function servePeers(node: EntryNode, key: string): Promise<void> {
  try {
    const server = await listenForPeers(node.settings.peers, key, {
      consult: consultation => answerConsultation(node, consultation),
      shareLoad: report => collectLoad(node, report),
      followChanges: request => serveFollower(node, request),
    });
    registerResource(node.manager, 'peer-listener', () =>
      closePeerServer(server),
    );
  } catch (thrown) {
    node.log.error({error: messageOf(thrown)}, 'cannot listen for peers');
  }
}

async function start(node: EntryNode): Promise<void> {
  const {manager, settings} = node;
  node.log.info({incarnation: node.incarnation}, 'starting');
  registerResource(manager, 'store', () => closeKeyspace(node.keyspace));
  const readiness = createReadinessListener(node);
  ownListener(node, 'readiness-listener', readiness);
  await listen(readiness, settings.readiness);
  const metrics = createMetricsListener(node);
  ownListener(node, 'metrics-listener', metrics);
  await listen(metrics, settings.metrics);
  const ingress = createCallerListener(node);
  node.onTable = table => applyCallerLimits(ingress, table);
  // Connections are taken at once; requests before the configuration get 503.
  await listen(ingress, settings.callers);
  node.onPeerKey = key => void servePeers(node, key);
  node.feed.subscribers.push(
    ownSubscriber(node),
    orderSubscriber(node),
    upstreamSubscriber(node),
  );
  const known = followStore(node);
  keepRegistered(node);
  runRollouts(node);
  shareLoads(node);
  // Owned last, so that callers are served out before anything else stops.
  registerResource(manager, 'callers', () => drain(node, ingress));
  await known;
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
