/**
 * Measures how near the node is to the limits of its machine, tells the other nodes, and
 * withdraws from the balancer for a moment while they have room.
 */
import {registerResource} from '@parsleyarch/lifecycle/manager';
import type {CutOffNode} from '@parsleyarch/peer/messages';
import {
  lagAt,
  recordTick,
  TICK_INTERVAL_MS,
} from '@parsleyarch/policy/loop-lag';
import {
  createNodePressure,
  processorUse,
  recordUse,
  shareOf,
  type NodePressure,
  type UsedShares,
} from '@parsleyarch/policy/node-pressure';
import {
  createWithdrawal,
  isWithdrawn,
  updateWithdrawal,
  WITHDRAWAL_MS,
  type Domain,
  type Withdrawal,
} from '@parsleyarch/policy/withdrawal';
import type {Server} from 'node:net';
import {performance, type EventLoopUtilization} from 'node:perf_hooks';
import type {EntryNode} from './node.js';

/** Age above which what other nodes said of themselves is not used, milliseconds. */
const MAX_NEWS_AGE_MS = 1_200;
const BYTES_PER_MB = 1 << 20;
const BITS_PER_BYTE = 8;
const BITS_PER_MEGABIT = 1e6;
const MS_PER_SECOND = 1_000;

/** What the node knows of its own use of the machine. */
export interface Pressure {
  readonly current: NodePressure;
  readonly withdrawal: Withdrawal;
  /** Bytes of requests and answers that passed since the latest measurement. */
  passedBytes: number;
  /** Connections of callers and other nodes at the latest measurement. */
  connections: number;
  measuredAt: number;
  loopUse: EventLoopUtilization;
  /** Whether the node is under pressure and most others of its failure domain are not. */
  hasRoomElsewhere: boolean;
}

export function createPressure(now: number): Pressure {
  return {
    current: createNodePressure(),
    withdrawal: createWithdrawal(),
    passedBytes: 0,
    connections: 0,
    measuredAt: now,
    loopUse: performance.eventLoopUtilization(),
    hasRoomElsewhere: false,
  };
}

function countUpstreamConnections({upstreams}: EntryNode): number {
  let count = 0;
  for (const {inFlight} of upstreams.values()) count += inFlight;
  return count;
}

/** Share of the link; each byte that passes is received and sent once. */
function linkUse({pressure, settings}: EntryNode, elapsedMs: number): number {
  const megabits = (pressure.passedBytes * BITS_PER_BYTE) / BITS_PER_MEGABIT;
  const seconds = Math.max(1, elapsedMs) / MS_PER_SECOND;
  return shareOf(megabits / seconds, settings.machine.linkMbps);
}

/** Measures the used shares since the latest measurement. */
function measureUse(node: EntryNode, now: number): UsedShares {
  const {pressure, turns, settings} = node;
  const {maxDescriptors, memoryMb} = settings.machine;
  const loopUse = performance.eventLoopUtilization();
  const {utilization} = performance.eventLoopUtilization(
    loopUse,
    pressure.loopUse,
  );
  const connections = pressure.connections + countUpstreamConnections(node);
  const used = {
    processor: processorUse(utilization, lagAt(turns.lag, now)),
    link: linkUse(node, now - pressure.measuredAt),
    descriptors: shareOf(connections, maxDescriptors),
    memory: shareOf(process.memoryUsage.rss() / BYTES_PER_MB, memoryMb),
  };
  pressure.loopUse = loopUse;
  pressure.passedBytes = 0;
  pressure.measuredAt = now;
  return used;
}

/** Other nodes of the failure domain; `undefined` while there is no news of them. */
function describeDomain(node: EntryNode): Domain | undefined {
  const {members, load, settings, pressure} = node;
  if (node.clock() - load.receivedAt > MAX_NEWS_AGE_MS) return undefined;
  const {node: self, failureDomain} = settings;
  const isNear = (name: string) =>
    members.get(name)?.failureDomain === failureDomain;
  const others = load.cutOff.filter(
    ({node: name}) => name !== self && isNear(name),
  );
  const isPressed = pressure.current.cause !== undefined;
  return {
    nodeCount: [...members.keys()].filter(isNear).length,
    pressedCount:
      others.filter(other => other.isPressed).length + Number(isPressed),
    announced: others
      .filter(other => other.isAnnounced)
      .flatMap(({node: name}) => members.get(name) ?? []),
    withdrawnCount: others.filter(other => other.isWithdrawn).length,
  };
}

/** Whether less than half of the other nodes are under pressure. */
function haveOthersRoom({nodeCount, pressedCount}: Domain): boolean {
  return (pressedCount - 1) * 2 < nodeCount - 1;
}

function logChange(node: EntryNode): void {
  const {shares, cause} = node.pressure.current;
  const rounded = Object.entries(shares).map(([resource, share]) => [
    resource,
    Number(share.toFixed(2)),
  ]);
  node.logDecision('pressure', {
    cause: cause ?? 'none',
    ...Object.fromEntries(rounded),
    lagMs: Math.round(lagAt(node.turns.lag, node.clock())),
    waiting: node.turns.queue.waiting.length,
    inFlight: node.active,
  });
}

function measure(node: EntryNode): void {
  const {pressure, turns, metrics} = node;
  const now = node.clock();
  recordTick(turns.lag, now);
  metrics.loopLag.set(lagAt(turns.lag, now) / MS_PER_SECOND);
  const hasChanged = recordUse(pressure.current, measureUse(node, now));
  const {shares, cause} = pressure.current;
  for (const [resource, share] of Object.entries(shares))
    metrics.pressure.set({resource}, share);
  if (hasChanged) logChange(node);
  const isPressed = cause !== undefined;
  const domain = describeDomain(node);
  pressure.hasRoomElsewhere =
    isPressed && domain !== undefined && haveOthersRoom(domain);
  if (!updateWithdrawal(pressure.withdrawal, now, isPressed, node, domain))
    return;
  metrics.withdrawals.inc();
  node.logDecision('withdrawal', {cause, forMs: WITHDRAWAL_MS, ...domain});
}

/** Measures the pressure until the node stops. */
export function measurePressure(
  node: EntryNode,
  listeners: readonly Server[],
): void {
  const {pressure} = node;
  const timer = setInterval(() => {
    measure(node);
    pressure.connections = 0;
    for (const listener of listeners)
      listener.getConnections((_error, count) => {
        pressure.connections += count ?? 0;
      });
  }, TICK_INTERVAL_MS);
  registerResource(node.manager, 'pressure', () => clearInterval(timer));
}

/** Records bytes that were received and passed on. */
export function recordPassed({pressure}: EntryNode, bytes: number): void {
  pressure.passedBytes += bytes;
}

/** What other nodes are told; `undefined` if the node is not under pressure. */
export function reportPressure({
  pressure,
  clock,
}: EntryNode): Omit<CutOffNode, 'node' | 'services'> | undefined {
  const {current, withdrawal} = pressure;
  const state = {
    isPressed: current.cause !== undefined,
    isAnnounced: withdrawal.announcedAt !== undefined,
    isWithdrawn: isWithdrawn(withdrawal, clock()),
  };
  return Object.values(state).some(Boolean) ? state : undefined;
}
