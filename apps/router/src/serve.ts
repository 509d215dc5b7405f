/** Starts a node, and stops it gracefully without cutting off requests. */
import {repeat, wait} from '@parsleyarch/lifecycle/process';
import {registerResource, stopAll} from '@parsleyarch/lifecycle/manager';
import {closePeerClient} from '@parsleyarch/peer/client';
import {closePeerServer, listenForPeers} from '@parsleyarch/peer/server';
import {closeStore} from '@parsleyarch/store/client';
import type {Server} from 'node:http';
import {retryWaiting} from './acquire.js';
import {writeBills, writeOrphanedBills} from './bills.js';
import {listenForCallers} from './callers.js';
import {loadConfiguration, tailConfigurationLog} from './config.js';
import {runControl, type StepStarts} from './control.js';
import {requestCredits} from './credits.js';
import {gossipHeartbeats, contactAllPeers, refreshVmList} from './gossip.js';
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

/** Pause between two steps of each background process. */
const STEP_PAUSE_MS = {
  tail: 100,
  heartbeat: 800,
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
/** Delay before a credit step that was requested while another one ran. */
const CREDIT_RERUN_DELAY_MS = 5;
const DRAIN_POLL_MS = 50;

function watchConfiguration(node: RouterNode): void {
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

function startProcess(
  node: RouterNode,
  name: string,
  pauseMs: number,
  step: () => Promise<void>,
): void {
  const onError = (error: unknown) =>
    node.log.error(
      {process: name, error: String(error)},
      'step of a background process failed',
    );
  const running = repeat(pauseMs, step, onError);
  registerResource(node.manager, name, () => running.end());
}

/**
 * Starts the credit process: it runs periodically, and soon after each wake-up.
 */
function startCreditProcess(node: RouterNode): void {
  let inProgress = false;
  let rerunRequested = false;
  const runCreditStep = async () => {
    if (inProgress) {
      rerunRequested = true;
      return;
    }
    inProgress = true;
    rerunRequested = false;
    try {
      await requestCredits(node);
    } finally {
      inProgress = false;
    }
    if (rerunRequested)
      setTimeout(() => void runCreditStep(), CREDIT_RERUN_DELAY_MS);
  };
  node.wakeCredits = () => void runCreditStep();
  startProcess(node, 'credits', STEP_PAUSE_MS.credit, runCreditStep);
}

function closeServer(server: Server): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve());
    server.closeIdleConnections();
  });
}

/**
 * Stops in order: reports not ready, waits for the load balancer to notice and
 * meanwhile hands over groups and pins, closes the listener, waits for active
 * requests until the grace period ends, then writes the bills.
 */
async function drain(node: RouterNode, callers: Server): Promise<void> {
  const {balancerLagMs, graceMs} = node.settings.stop;
  node.stopping = true;
  node.log.info({active: node.activeRequests}, 'stopping');
  await Promise.all([
    handOverGroups(node),
    replicatePins(node, true),
    wait(balancerLagMs),
  ]);
  const closed = closeServer(callers);
  const deadline = node.clock() + graceMs;
  while (node.activeRequests > 0 && node.clock() < deadline)
    await wait(DRAIN_POLL_MS);
  if (node.activeRequests > 0)
    node.log.error(
      {active: node.activeRequests},
      'grace period ended; closing connections of active requests',
    );
  callers.closeAllConnections();
  await closed;
  await writeBills(node);
}

export interface RunningNode {
  readonly node: RouterNode;
  /** Stops gracefully; resolves when all resources are closed. */
  stop(): Promise<void>;
}

function startAllProcesses(node: RouterNode): void {
  const starts: StepStarts = new Map();
  const placement = createPlacementState();
  const shared = createSharedCounters();
  startProcess(node, 'tail', STEP_PAUSE_MS.tail, () =>
    tailConfigurationLog(node),
  );
  startProcess(node, 'beat', STEP_PAUSE_MS.heartbeat, () =>
    gossipHeartbeats(node),
  );
  startProcess(node, 'vm-list', STEP_PAUSE_MS.vmList, () =>
    refreshVmList(node),
  );
  startProcess(node, 'allocator', STEP_PAUSE_MS.allocator, () =>
    acquireGroups(node),
  );
  startProcess(node, 'bills', STEP_PAUSE_MS.bills, () => writeBills(node));
  startProcess(node, 'copies', STEP_PAUSE_MS.copies, () =>
    writeOrphanedBills(node),
  );
  startProcess(node, 'control', STEP_PAUSE_MS.control, () =>
    runControl(node, starts),
  );
  startProcess(node, 'placement', STEP_PAUSE_MS.placement, () =>
    placeVersions(node, placement),
  );
  startProcess(node, 'counters', STEP_PAUSE_MS.counters, () =>
    shareCounters(node, shared),
  );
  startProcess(node, 'pins', STEP_PAUSE_MS.pins, () => replicatePins(node));
  startCreditProcess(node);
}

export async function startNode(settings: Settings): Promise<RunningNode> {
  const node = await createNode(settings);
  const {manager} = node;
  registerResource(manager, 'store', () => closeStore(node.store));
  registerResource(manager, 'peer-client', () => closePeerClient(node.peers));
  registerResource(manager, 'upstreams', () => closeUpstreams(node));
  node.wakeWaiting = () => retryWaiting(node);
  await refreshVmList(node);
  await loadConfiguration(node);
  watchConfiguration(node);
  const {host, port} = settings.peers;
  const peers = await listenForPeers(
    `${host}:${port}`,
    () => settings.peerKey,
    peerHandlers(node),
  );
  registerResource(manager, 'peer-listener', () => closePeerServer(peers));
  await contactAllPeers(node);
  startAllProcesses(node);
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
