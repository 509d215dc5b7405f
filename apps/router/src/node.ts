/**
 * The state of one running node. Every subsystem works on this one object; the
 * decisions themselves are pure functions of `policy` and `protocol`.
 */
import type {ResourceManager} from '@parsleyarch/lifecycle/manager';
import {createManager} from '@parsleyarch/lifecycle/manager';
import {createPeerClient, type PeerClient} from '@parsleyarch/peer/client';
import type {BillCopy, Handover} from '@parsleyarch/peer/messages';
import {
  EMPTY_QUEUE,
  FULL_RETRY_BUDGET,
  type FairQueue,
  type RetryBudget,
  type TokenBucket,
} from '@parsleyarch/policy/admission';
import {EMPTY_POISON_STATE, type PoisonState} from '@parsleyarch/policy/poison';
import type {Bill} from '@parsleyarch/protocol/bill';
import type {CreditGrant, Allocation} from '@parsleyarch/protocol/credit';
import {
  createReplicatedCounters,
  type ReplicatedCounters,
} from '@parsleyarch/protocol/evidence';
import {
  assessFreshness,
  type Freshness,
  type LogTail,
} from '@parsleyarch/protocol/freshness';
import type {LogEntry} from '@parsleyarch/protocol/log';
import {
  createMembership,
  listLiveNodes,
  type Membership,
} from '@parsleyarch/protocol/membership';
import {
  EMPTY_CONFIGURATION,
  type Configuration,
} from '@parsleyarch/resource/configuration';
import type {UpstreamSpec} from '@parsleyarch/resource/schema';
import {createBudget} from '@parsleyarch/store/budget';
import {openStore, type Store} from '@parsleyarch/store/client';
import {
  createLog,
  type DecisionLine,
  type Log,
} from '@parsleyarch/telemetry/log';
import {createMetrics, type Metrics} from '@parsleyarch/telemetry/metrics';
import {
  createEngineClient,
  type EngineClient,
  type EngineReport,
} from '@parsleyarch/upstream/engine';
import {
  createServiceClient,
  type ServiceClient,
} from '@parsleyarch/upstream/service';
import {randomUUID} from 'node:crypto';
import type {Settings} from './settings.js';

/** One request that runs on an upstream. */
export interface Running {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly suspect: boolean;
  /** Set once its connection broke. */
  broken?: boolean;
}

/** A grant as this node received it. */
export interface HeldGrant extends CreditGrant {
  /** Local monotonic milliseconds; counted from when it was asked for. */
  readonly goodUntil: number;
}

/** What a node knows of one upstream and does there. */
export interface UpstreamState {
  readonly name: string;
  spec: UpstreamSpec;
  /** Load by the last report; absent while the report stream is down. */
  report?: EngineReport;
  /** Latest start seen; remembered while the report stream is down. */
  incarnation: number;
  readonly running: Map<string, Running>;
  /** Requests broken off lately, with the time of the break. */
  lost: Array<{readonly at: number; readonly running: Running}>;
  grant?: HeldGrant;
  /** Term of the allocator that has had a report: node and epoch. */
  reportedTo?: string;
  succeeded: number;
  failed: boolean;
  lastUsedAt: number;
  /** Mean milliseconds of a request here. */
  serviceMs: number;
  /** Mean milliseconds to the first token here; 0 before the first. */
  firstTokenMs: number;
  readonly end: AbortController;
  /** Resolves the waits for the next change of the report stream. */
  readonly watchers: Set<() => void>;
}

/** A request that waits for an upstream. */
export interface Waiting {
  readonly pool: string;
  /** Tries to take an upstream now. */
  tryNow(): void;
}

/** The node's open batch of bills, and the way to have them copied. */
export interface BillState {
  sequence: number;
  open: Bill[];
  /** Sealed batches that the store has not confirmed. */
  readonly sealed: Map<number, Bill[]>;
  /** Copies held for peers, by batch key. */
  readonly copies: Map<string, BillCopy>;
  /** Last batch that the store holds, by origin. */
  readonly written: Map<string, number>;
}

/** One node. */
export interface RouterNode {
  readonly settings: Settings;
  readonly name: string;
  readonly incarnation: number;
  /** Local monotonic milliseconds of the start. */
  readonly startedAt: number;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly manager: ResourceManager;
  readonly store: Store;
  readonly peers: PeerClient;
  readonly engines: EngineClient;
  readonly services: ServiceClient;
  readonly clock: () => number;
  readonly random: () => number;
  configuration: Configuration;
  /** The latest entries, for peers that lag. */
  entries: LogEntry[];
  tail: LogTail;
  membership: Membership;
  /** Upstream VMs that the platform lists as leaving. */
  leavingVms: ReadonlySet<string>;
  beatSequence: number;
  /** Number of the last ask for credits, whatever upstream it was for. */
  askSequence: number;
  stopping: boolean;
  active: number;
  readonly upstreams: Map<string, UpstreamState>;
  readonly allocations: Map<string, Allocation>;
  /** What leaving allocators have told, by group, with the time it came. */
  readonly handovers: Map<string, {handover: Handover; at: number}>;
  readonly queues: Map<string, FairQueue>;
  readonly waiting: Map<string, Waiting>;
  readonly retries: Map<string, RetryBudget>;
  readonly rates: Map<string, TokenBucket>;
  readonly bills: BillState;
  readonly pins: Map<string, string>;
  poison: PoisonState;
  readonly evidence: ReplicatedCounters;
  /** New versions that this node gives to no further sessions. */
  suspended: Set<string>;
  readonly decisions: Map<string, DecisionLine[]>;
  /** Called after the configuration has changed. */
  readonly onConfiguration: Array<() => void>;
  /** Asks the credit process to run at once. */
  wakeCredits: () => void;
  /** Lets waiting requests try again, in their fair order. */
  wakeWaiting: () => void;
}

/** The queue of a pool, whether or not anybody waits in it. */
export function queueOf(node: RouterNode, pool: string): FairQueue {
  return node.queues.get(pool) ?? EMPTY_QUEUE;
}

/** The retry budget of a pool. */
export function retriesOf(node: RouterNode, pool: string): RetryBudget {
  return node.retries.get(pool) ?? FULL_RETRY_BUDGET;
}

/** Creates a node that does nothing yet. */
export function createNode(settings: Settings): RouterNode {
  const log = createLog(settings.logLevel, settings.node);
  const clock = () => performance.now();
  const {readsPerSecond, writesPerSecond} = settings.store;
  const budget = createBudget(
    {read: readsPerSecond, write: writesPerSecond},
    clock,
  );
  return {
    settings,
    name: settings.node,
    incarnation: Date.now(),
    startedAt: clock(),
    log,
    metrics: createMetrics(),
    manager: createManager((part, error) =>
      error
        ? log.error({part, error}, 'stop failed')
        : log.debug({part}, 'stopped'),
    ),
    store: openStore(settings.store.address, budget, settings.store.timeoutMs),
    peers: createPeerClient(settings.peerKey),
    engines: createEngineClient(settings.node, settings.upstreamIdleMs),
    services: createServiceClient(settings.node, settings.upstreamIdleMs),
    clock,
    random: Math.random,
    configuration: EMPTY_CONFIGURATION,
    entries: [],
    tail: {confirmedAt: -Infinity, storeReachable: false},
    membership: createMembership(settings.node),
    leavingVms: new Set(),
    beatSequence: 0,
    askSequence: 0,
    stopping: false,
    active: 0,
    upstreams: new Map(),
    allocations: new Map(),
    handovers: new Map(),
    queues: new Map(),
    waiting: new Map(),
    retries: new Map(),
    rates: new Map(),
    bills: {
      sequence: 1,
      open: [],
      sealed: new Map(),
      copies: new Map(),
      written: new Map(),
    },
    pins: new Map(),
    poison: EMPTY_POISON_STATE,
    evidence: createReplicatedCounters(),
    suspended: new Set(),
    decisions: new Map(),
    onConfiguration: [],
    wakeCredits: () => {},
    wakeWaiting: () => {},
  };
}

/** Whether the node may act on its configuration now. */
export function freshness(node: RouterNode): Freshness {
  return assessFreshness(node.tail, node.membership, node.clock());
}

/** Nodes that are up, this one included. */
export function liveNames(node: RouterNode): string[] {
  return listLiveNodes(node.membership, node.clock());
}

/** Address of a peer's listener. */
export function peerAddress(
  node: RouterNode,
  peer: string,
): string | undefined {
  return node.membership.listed.get(peer)?.address;
}

const SEPARATOR = '~';

/** Mints a request id that names the node which holds its decisions. */
export function mintRequestId(node: RouterNode): string {
  return `${node.name}${SEPARATOR}${randomUUID()}`;
}

/** The node that minted a request id. */
export function minterOf(requestId: string): string | undefined {
  const at = requestId.indexOf(SEPARATOR);
  return at > 0 ? requestId.slice(0, at) : undefined;
}
