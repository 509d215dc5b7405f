/**
 * State of one entry node, passed to every function that serves a request.
 *
 * The entry path (command `route`) forwards HTTP requests by the platform's
 * declarations and without concurrency credits. Other nodes (command `serve`) use
 * the resources of `packages/resource/src/schema.ts` and credits.
 */
import {
  createManager,
  type ResourceManager,
} from '@parsleyarch/lifecycle/manager';
import {PLATFORM_STORE} from '@parsleyarch/platform/store';
import type {ReportedLoad} from '@parsleyarch/platform/headers';
import type {PeerClient} from '@parsleyarch/peer/client';
import {
  createContinuousClock,
  readBothClocks,
  readContinuousClock,
} from '@parsleyarch/protocol/continuous-clock';
import {createBytesHeld, type BytesHeld} from '@parsleyarch/policy/bytes-held';
import {
  deriveClientLimits,
  type ClientLimits,
} from '@parsleyarch/policy/client-limits';
import type {RouteIndex} from '@parsleyarch/policy/routes';
import type {RetryWindow} from '@parsleyarch/policy/retry-window';
import type {ShareBucket} from '@parsleyarch/policy/shared-limit';
import type {Stop} from '@parsleyarch/policy/stopping';
import type {LevelRecords} from '@parsleyarch/policy/urgency';
import {hashName, type RendezvousMember} from '@parsleyarch/policy/rendezvous';
import type {ListedNode} from '@parsleyarch/policy/watchers';
import type {
  RegisteredUpstream,
  RolloutOrder,
  RoutingTable,
} from '@parsleyarch/resource/routing';
import {openKeyspace, type Keyspace} from '@parsleyarch/store/keyspace';
import {createLog, type Log} from '@parsleyarch/telemetry/log';
import {randomUUID} from 'node:crypto';
import * as http from 'node:http';
import type {LimitKind, LimitUse} from './limit-uses.js';
import type {Connections} from './connections.js';
import {createCrashes, type Crashes} from './crashes.js';
import type {Delegates} from './delegation.js';
import type {Exchange} from './exchange.js';
import {createFeed, type Feed} from './feed.js';
import {createFollowing, type Following} from './following.js';
import {createEntryMetrics, type EntryMetrics} from './metrics.js';
import {createSharedLoad, type SharedLoad} from './load.js';
import {createModelStatistics, type ModelStatistics} from './models.js';
import {createDecisionLog} from './notes.js';
import type {UpstreamNotice} from './notices.js';
import {createHolderState, type HolderState} from './holder.js';
import {createPlacing, type Placing} from './placing.js';
import {createPressure, type Pressure} from './pressure.js';
import {createReachability, type Reachability} from './reachability.js';
import type {EntrySettings} from './settings.js';
import {createStatements, type Statements} from './statements.js';
import {createTurns, type Turns} from './turns.js';
import {createVersions, type Versions} from './versions.js';
import {createWaitingLines, type WaitingLines} from './waiting.js';

/** The node's view of one upstream. */
export interface UpstreamState {
  /** Digest of its id, by which nodes are ranked for this upstream. */
  readonly digest: number;
  registered: RegisteredUpstream;
  /** Until when it is treated as cold, monotonic milliseconds. */
  coldUntil: number;
  /** Requests of this node that it is running. */
  inFlight: number;
  /** Work of requests of this node without an answer yet, in work units. */
  pendingWork: number;
  /** Requests of this node whose answers are being streamed. */
  streaming: number;
  /** The load that it last reported, and when. */
  load?: ReportedLoad & {readonly at: number};
  /** Requests sent to it by this node since that report. */
  sentSinceReport: number;
  /** Times of recent failures, oldest first. */
  failures: number[];
  /** Until when it is ranked last after a failed connection. */
  backoffUntil: number;
  /** Length of that backoff; it doubles with each successive failure. */
  backoffMs: number;
  /** Times of recent sends, oldest first; kept for the cold limit. */
  sends: number[];
  lastAnswerAt: number;
  /** Sends that this node may make under a limit that the upstream names. */
  readonly limitBucket: ShareBucket;
  /** When this node last connected to it, monotonic milliseconds. */
  connectedAt: number;
  /** When the last connection to it that failed began, monotonic milliseconds. */
  failedAt: number;
  /** When prompt segments were last sent to it, by cache key. */
  readonly promptSegmentSentAt: Map<string, number>;
  /** When its entry disappeared in a store outage; absent while it exists. */
  missingSince?: number;
}

/** A roll-out order with the revision that identifies it. */
export interface KnownOrder extends RolloutOrder {
  readonly revision: number;
  /** Era of the store in which the revision counts. */
  readonly era: number;
  /** When this node received it, monotonic milliseconds. */
  readonly seenAt: number;
}

/** A registered node; this one is included. */
export interface Member extends ListedNode, RendezvousMember {
  /** host:port of its peer listener. */
  readonly address: string;
  /** host:port of its listener for delegated requests; absent if it has none. */
  readonly delegation?: string;
}

/** Connections to other nodes; empty until the shared key is known. */
export interface PeerConnections {
  key?: string;
  client?: PeerClient;
}

/** State and resources of one node. */
export interface EntryNode extends RendezvousMember {
  readonly settings: EntrySettings;
  readonly incarnation: string;
  readonly log: Log;
  readonly metrics: EntryMetrics;
  readonly manager: ResourceManager;
  readonly keyspace: Keyspace;
  /** Connections to upstreams. */
  readonly agent: http.Agent;
  /** Connections to nodes that serve requests for this one. */
  readonly peerAgent: http.Agent;
  /** Monotonic milliseconds. */
  readonly clock: () => number;
  readonly random: () => number;
  /** Configuration in force; absent until the first one is read. */
  routes?: RouteIndex;
  readonly upstreams: Map<string, UpstreamState>;
  /** What upstreams said of themselves, by upstream. */
  readonly notices: Map<string, UpstreamNotice>;
  /** What upstreams say of themselves for as long as it holds. */
  readonly statements: Statements;
  /** Failure domains that operators have taken out of service. */
  readonly evacuated: Set<string>;
  readonly orders: Map<string, KnownOrder>;
  readonly versions: Versions;
  readonly models: ModelStatistics;
  /** Sends of each level of urgency, by service. */
  readonly urgencyLevels: Map<string, LevelRecords>;
  /** Time that upstreams of plain services take for a request, by service. */
  readonly serviceMs: Map<string, number>;
  /** When requests were lately refused, oldest first, by service. */
  readonly refusedAt: Map<string, number[]>;
  /** Requests that wait for upstreams. */
  readonly waiting: WaitingLines;
  readonly load: SharedLoad;
  readonly turns: Turns;
  readonly placing: Placing;
  readonly pressure: Pressure;
  readonly crashes: Crashes;
  readonly delegates: Delegates;
  readonly reachability: Reachability;
  readonly holderState: HolderState;
  /** Limits on clients, as settings or the machine state them. */
  readonly clientLimits: ClientLimits;
  readonly limitUses: Map<LimitKind, LimitUse>;
  /** Open connections of clients. */
  readonly connections: Connections;
  /** Bytes held for callers and upstreams. */
  readonly held: BytesHeld;
  readonly peers: PeerConnections;
  readonly retries: Map<string, RetryWindow>;
  /** Registered nodes, by name. */
  readonly members: Map<string, Member>;
  /** Largest number of nodes that were registered at the same time. */
  peakMemberCount: number;
  /**
   * When the configuration was last confirmed to be current, on the continuous
   * clock; see `freshness.ts`.
   */
  confirmedAt?: number;
  /** The store's items, as far as this node knows them. */
  readonly feed: Feed;
  /** Where this node gets changes of the store from. */
  readonly following: Following;
  /** Whether the store is unreachable, directly and through other nodes. */
  storeLost: boolean;
  /** When the store was last found restored from a copy, monotonic milliseconds. */
  restoredAt: number;
  /** When the store last became reachable again, monotonic milliseconds. */
  storeReturnedAt?: number;
  /** Writes a decision log line unless the rate limit drops it. */
  readonly logDecision: (
    decision: string,
    fields: Record<string, unknown>,
  ) => void;
  /** Called with each configuration that comes into force. */
  onConfiguration: (table: RoutingTable) => void;
  /** Called once the key shared by the nodes is known. */
  onPeerKey: () => void;
  /** Milliseconds, including time in which the machine is suspended. */
  readonly continuousClock: () => number;
  /** Whether callers are being served. */
  serving: boolean;
  stopping: boolean;
  /** Times of the planned stop that has begun. */
  stop?: Stop;
  active: number;
  /** Requests that have no final answer yet. */
  readonly exchanges: Set<Exchange>;
}

/** Creates a node that has not started. */
export function createEntryNode(settings: EntrySettings): EntryNode {
  const log = createLog(settings.logLevel, settings.node);
  const manager = createManager((name, error) => {
    if (error === undefined) log.info({part: name}, 'stopped');
    else log.error({part: name, error: String(error)}, 'failed to stop');
  });
  const metrics = createEntryMetrics();
  const clientLimits = deriveClientLimits(settings.machine, settings.clients);
  const elapsed = createContinuousClock(performance.now(), Date.now());
  return {
    settings,
    digest: hashName(settings.node),
    incarnation: randomUUID(),
    log,
    metrics,
    logDecision: createDecisionLog(log, metrics.droppedLines),
    manager,
    keyspace: openKeyspace(
      settings.store.address,
      PLATFORM_STORE,
      settings.store.timeoutMs,
    ),
    agent: new http.Agent({keepAlive: false, maxSockets: Infinity}),
    peerAgent: new http.Agent({keepAlive: false, maxSockets: Infinity}),
    clock: () => performance.now(),
    random: Math.random,
    upstreams: new Map(),
    notices: new Map(),
    statements: createStatements(),
    evacuated: new Set(),
    orders: new Map(),
    versions: createVersions(),
    models: createModelStatistics(),
    urgencyLevels: new Map(),
    serviceMs: new Map(),
    refusedAt: new Map(),
    waiting: createWaitingLines(),
    load: createSharedLoad(),
    turns: createTurns(performance.now()),
    placing: createPlacing(),
    pressure: createPressure(performance.now()),
    crashes: createCrashes(),
    delegates: {skipped: new Map()},
    reachability: createReachability(),
    holderState: createHolderState(),
    clientLimits,
    limitUses: new Map(),
    connections: new Map(),
    held: createBytesHeld(clientLimits.heldBytes),
    peers: {},
    retries: new Map(),
    members: new Map(),
    peakMemberCount: 1,
    feed: createFeed((key, error) =>
      log.error(
        {key, error: String(error)},
        'an item of the store cannot be applied',
      ),
    ),
    following: createFollowing(),
    storeLost: false,
    restoredAt: -Infinity,
    onConfiguration: () => {},
    onPeerKey: () => {},
    continuousClock: () => {
      const {monotonicMs, wallMs} = readBothClocks(
        () => performance.now(),
        Date.now,
      );
      return readContinuousClock(elapsed, monotonicMs, wallMs);
    },
    serving: false,
    stopping: false,
    active: 0,
    exchanges: new Set(),
  };
}
