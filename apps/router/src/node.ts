/**
 * The state of one running node. All subsystems share this object; the
 * decisions themselves are pure functions in `policy` and `protocol`.
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

/** A request that is running on an upstream. */
export interface RunningRequest {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly suspect: boolean;
  /** Set once the connection to the upstream broke. */
  broken?: boolean;
}

/** A grant as this node received it. */
export interface HeldGrant extends CreditGrant {
  /**
   * Local monotonic milliseconds; the TTL counts from the time of the request.
   */
  readonly expiresAt: number;
}

/** State of one upstream as this node sees it. */
export interface UpstreamState {
  readonly name: string;
  spec: UpstreamSpec;
  /** When this node learned of it, monotonic milliseconds. */
  readonly declaredAt: number;
  /** Last load report; absent while the report stream is down. */
  report?: EngineReport;
  /** Latest incarnation seen; kept while the report stream is down. */
  incarnation: number;
  readonly running: Map<string, RunningRequest>;
  /** Requests whose connection broke recently, with the time of the break. */
  brokenRequests: Array<{
    readonly at: number;
    readonly running: RunningRequest;
  }>;
  grant?: HeldGrant;
  /**
   * Allocator that answered the last credit request, as `<node>/<epoch>`.
   */
  lastReportedTerm?: string;
  /** Requests that succeeded since the last credit request. */
  succeeded: number;
  /** Whether a request failed since the last credit request. */
  failed: boolean;
  lastUsedAt: number;
  /** Mean duration of a request on this upstream. */
  serviceMs: number;
  /**
   * Mean time to the first token on this upstream; 0 until one was measured.
   */
  firstTokenMs: number;
  readonly abortController: AbortController;
  /** Called once, at the next load report or the end of the report stream. */
  readonly watchers: Set<() => void>;
}

/** A request that waits for an upstream. */
export interface WaitingRequest {
  readonly pool: string;
  /**
   * Ends the wait if an upstream can be acquired now, or if the request is no
   * longer allowed.
   */
  retryAcquire(): void;
}

/**
 * Bills of this node that are not in the store yet, and copies held for peers.
 */
export interface BillState {
  sequence: number;
  openBatch: Bill[];
  /** Closed batches that the store has not confirmed, by sequence. */
  readonly sealedBatches: Map<number, Bill[]>;
  /** Copies held for peers, by batch key. */
  readonly copies: Map<string, BillCopy>;
  /** Sequence of the last batch known to be in the store, by origin. */
  readonly writtenSequences: Map<string, number>;
}

export interface RouterNode {
  readonly settings: Settings;
  readonly name: string;
  readonly incarnation: number;
  /** Local monotonic milliseconds. */
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
  /** Latest log entries, kept for peers that lag. */
  entries: LogEntry[];
  tail: LogTail;
  membership: Membership;
  /** Upstream VMs that the platform's VM list marks as `leaving`. */
  leavingVms: ReadonlySet<string>;
  heartbeatSequence: number;
  /** Sequence of the last credit request, counted over all upstreams. */
  creditRequestSequence: number;
  stopping: boolean;
  activeRequests: number;
  readonly upstreams: Map<string, UpstreamState>;
  readonly allocations: Map<string, Allocation>;
  /**
   * Handovers received from allocators that stop, by group, with the arrival
   * time.
   */
  readonly handovers: Map<string, {handover: Handover; at: number}>;
  /** Waiting requests of each pool. */
  readonly queues: Map<string, FairQueue>;
  /** By request id. */
  readonly waiting: Map<string, WaitingRequest>;
  /** By pool. */
  readonly retryBudgets: Map<string, RetryBudget>;
  /** By customer. */
  readonly rateLimits: Map<string, TokenBucket>;
  readonly bills: BillState;
  /** Pinned version by session and model. */
  readonly pins: Map<string, string>;
  poison: PoisonState;
  readonly evidence: ReplicatedCounters;
  /** New versions to which this node assigns no further sessions. */
  suspended: Set<string>;
  /** By request id. */
  readonly decisions: Map<string, DecisionLine[]>;
  /** Called after the configuration has changed. */
  readonly onConfiguration: Array<() => void>;
  /** Runs a credit step immediately, or after the step in progress. */
  wakeCredits: () => void;
  /** Lets waiting requests try again, in fair-queue order. */
  wakeWaiting: () => void;
}

/** The queue of a pool; empty when no request waits in it. */
export function getQueue(node: RouterNode, pool: string): FairQueue {
  return node.queues.get(pool) ?? EMPTY_QUEUE;
}

export function getRetryBudget(node: RouterNode, pool: string): RetryBudget {
  return node.retryBudgets.get(pool) ?? FULL_RETRY_BUDGET;
}

/** Creates the state of a node; starts nothing. */
export async function createNode(settings: Settings): Promise<RouterNode> {
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
        ? log.error({part, error}, 'resource failed to stop')
        : log.debug({part}, 'stopped'),
    ),
    store: openStore(settings.store.address, budget, settings.store.timeoutMs),
    peers: await createPeerClient(settings.peerKey),
    engines: createEngineClient(settings.node, settings.upstreamIdleMs),
    services: createServiceClient(settings.node, settings.upstreamIdleMs),
    clock,
    random: Math.random,
    configuration: EMPTY_CONFIGURATION,
    entries: [],
    tail: {confirmedAt: -Infinity, storeReachable: false},
    membership: createMembership(settings.node),
    leavingVms: new Set(),
    heartbeatSequence: 0,
    creditRequestSequence: 0,
    stopping: false,
    activeRequests: 0,
    upstreams: new Map(),
    allocations: new Map(),
    handovers: new Map(),
    queues: new Map(),
    waiting: new Map(),
    retryBudgets: new Map(),
    rateLimits: new Map(),
    bills: {
      sequence: 1,
      openBatch: [],
      sealedBatches: new Map(),
      copies: new Map(),
      writtenSequences: new Map(),
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

/** Whether the node's configuration is recent enough to act on. */
export function assessNodeFreshness(node: RouterNode): Freshness {
  return assessFreshness(node.tail, node.membership, node.clock());
}

/** Names of the live nodes, including this one. */
export function listLiveNodeNames(node: RouterNode): string[] {
  return listLiveNodes(node.membership, node.clock());
}

/** Address of a peer's listener. */
export function findPeerAddress(
  node: RouterNode,
  peer: string,
): string | undefined {
  return node.membership.listed.get(peer)?.address;
}

const SEPARATOR = '~';

/**
 * Creates a request id that names this node, which keeps the request's decision
 * lines.
 */
export function createRequestId(node: RouterNode): string {
  return `${node.name}${SEPARATOR}${randomUUID()}`;
}

/** Name of the node that created a request id. */
export function findRequestOrigin(requestId: string): string | undefined {
  const at = requestId.indexOf(SEPARATOR);
  return at > 0 ? requestId.slice(0, at) : undefined;
}
