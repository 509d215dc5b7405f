/** Starts a node, and stops it without cutting a request. */
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {registerResource, stopAll} from '@parsleyarch/lifecycle/manager';
import {closePeerClient} from '@parsleyarch/peer/client';
import {closePeerServer, listenForPeers} from '@parsleyarch/peer/server';
import {closeStore} from '@parsleyarch/store/client';
import type {Server} from 'node:http';
import {retryWaiting} from './acquire.js';
import {writeBills, writeCopies} from './bills.js';
import {listenForCallers} from './callers.js';
import {loadConfiguration, tailStep} from './config.js';
import {runControl, type StepStarts} from './control.js';
import {requestCredits} from './credits.js';
import {beatStep, meetPeers, vmListStep} from './gossip.js';
import {
  suspendRegressed,
  createSharedCounters,
  shareCounters,
} from './learning.js';
import {createNode, type RouterNode} from './node.js';
import {listenForOperators} from './operators.js';
import {createPlacementState, placeVersions} from './placement.js';
import {peerHandlers} from './peering.js';
import {replicatePins} from './sessions.js';
import type {Settings} from './settings.js';
import {handOverGroups, acquireGroups, syncAllocations} from './allocators.js';
import {closeUpstreams, syncUpstreams} from './upstreams.js';

/** Pauses between the rounds of each process, milliseconds. */
const PAUSE_MS = {
  tail: 100,
  beat: 800,
  vmList: 2_000,
  allocator: 500,
  credit: 300,
  bills: 1_000,
  copies: 1_000,
  control: 1_000,
  placement: 1_000,
  counters: 1_000,
  pins: 1_000,
} as const;
/** Shortest pause between two rounds of asking for credits. */
const MIN_CREDIT_PAUSE_MS = 5;
const DRAIN_POLL_MS = 50;

function followConfiguration(node: RouterNode): void {
  let allocators = node.configuration.tables.Allocator;
  const sync = () => {
    syncUpstreams(node);
    syncAllocations(node, allocators);
    allocators = node.configuration.tables.Allocator;
    suspendRegressed(node);
    node.wakeCredits();
  };
  node.onConfiguration.push(sync);
  sync();
}

function run(
  node: RouterNode,
  name: string,
  pauseMs: number,
  step: () => Promise<void>,
): void {
  const onError = (error: unknown) =>
    node.log.error(
      {process: name, error: String(error)},
      'process step failed',
    );
  const running = repeat(pauseMs, step, onError);
  registerResource(node.manager, name, () => running.end());
}

/** Runs the credit rounds: on a period, and soon after each wake. */
function runCredits(node: RouterNode): void {
  let asking = false;
  let again = false;
  const ask = async () => {
    if (asking) {
      again = true;
      return;
    }
    asking = true;
    again = false;
    try {
      await requestCredits(node);
    } finally {
      asking = false;
    }
    if (again) setTimeout(() => void ask(), MIN_CREDIT_PAUSE_MS);
  };
  node.wakeCredits = () => void ask();
  run(node, 'credits', PAUSE_MS.credit, ask);
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

/** Leaves in order: unready, balancer's lag, no new connections, last answer. */
async function drain(node: RouterNode, callers: Server): Promise<void> {
  const {balancerLagMs, graceMs} = node.settings.stop;
  node.stopping = true;
  node.log.info({active: node.active}, 'stopping');
  await Promise.all([
    handOverGroups(node),
    replicatePins(node, true),
    wait(balancerLagMs),
  ]);
  const closed = closeServer(callers);
  const until = node.clock() + graceMs;
  while (node.active > 0 && node.clock() < until) await wait(DRAIN_POLL_MS);
  if (node.active > 0)
    node.log.error({active: node.active}, 'grace is over; requests are cut');
  callers.closeAllConnections();
  await closed;
  await writeBills(node);
}

/** A node that runs. */
export interface Running {
  readonly node: RouterNode;
  /** Stops gracefully; resolves when nothing of it is left. */
  stop(): Promise<void>;
}

function startProcesses(node: RouterNode): void {
  const starts: StepStarts = new Map();
  const placement = createPlacementState();
  const told = createSharedCounters();
  run(node, 'tail', PAUSE_MS.tail, () => tailStep(node));
  run(node, 'beat', PAUSE_MS.beat, () => beatStep(node));
  run(node, 'vm-list', PAUSE_MS.vmList, () => vmListStep(node));
  run(node, 'allocator', PAUSE_MS.allocator, () => acquireGroups(node));
  run(node, 'bills', PAUSE_MS.bills, () => writeBills(node));
  run(node, 'copies', PAUSE_MS.copies, () => writeCopies(node));
  run(node, 'control', PAUSE_MS.control, () => runControl(node, starts));
  run(node, 'placement', PAUSE_MS.placement, () =>
    placeVersions(node, placement),
  );
  run(node, 'counters', PAUSE_MS.counters, () => shareCounters(node, told));
  run(node, 'pins', PAUSE_MS.pins, () => replicatePins(node));
  runCredits(node);
}

/** Starts a node from its settings. */
export async function startNode(settings: Settings): Promise<Running> {
  const node = createNode(settings);
  const {manager} = node;
  registerResource(manager, 'store', () => closeStore(node.store));
  registerResource(manager, 'peer-client', () => closePeerClient(node.peers));
  registerResource(manager, 'upstreams', () => closeUpstreams(node));
  node.wakeWaiting = () => retryWaiting(node);
  await vmListStep(node);
  await loadConfiguration(node);
  followConfiguration(node);
  const {host, port} = settings.peers;
  const peers = await listenForPeers(
    `${host}:${port}`,
    settings.peerKey,
    peerHandlers(node),
  );
  registerResource(manager, 'peer-listener', () => closePeerServer(peers));
  await meetPeers(node);
  startProcesses(node);
  const operators = await listenForOperators(node);
  registerResource(manager, 'operator-listener', () => {
    operators.closeAllConnections();
    return closeServer(operators);
  });
  const callers = await listenForCallers(node);
  registerResource(manager, 'caller-listener', () => drain(node, callers));
  node.log.info({incarnation: node.incarnation}, 'serving');
  return {node, stop: () => stopAll(manager)};
}
