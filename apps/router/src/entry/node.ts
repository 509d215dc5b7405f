/** The state of one entry node, passed to everything that serves a request. */
import {
  createManager,
  type ResourceManager,
} from '@parsleyarch/lifecycle/manager';
import {PLATFORM_STORE} from '@parsleyarch/platform/store';
import type {ReportedLoad} from '@parsleyarch/platform/headers';
import type {PeerClient} from '@parsleyarch/peer/client';
import {
  createContinuousClock,
  readContinuousClock,
} from '@parsleyarch/protocol/continuous-clock';
import type {RouteIndex} from '@parsleyarch/policy/routes';
import type {RetryWindow} from '@parsleyarch/policy/retry-window';
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
import {createFeed, type Feed} from './feed.js';
import {createFollowing, type Following} from './follow.js';
import {createEntryMetrics, type EntryMetrics} from './metrics.js';
import {createSharedLoad, type SharedLoad} from './load.js';
import {createModelStatistics, type ModelStatistics} from './models.js';
import {createDecisionLog} from './notes.js';
import {createHolderState, type HolderState} from './holder.js';
import type {EntrySettings} from './settings.js';
import {createVersions, type Versions} from './versions.js';

/** What the node knows of one upstream. */
export interface UpstreamState {
  /** Digest of its id, by which nodes rank themselves for it. */
  readonly digest: number;
  registered: RegisteredUpstream;
  /** Until when it is to be treated as cold; monotonic milliseconds. */
  coldUntil: number;
  /** Requests of this node that run there. */
  inFlight: number;
  /** Work of requests of this node without an answer yet. */
  pendingWork: number;
  /** Requests of this node whose answers are being passed on. */
  streaming: number;
  /** Load that it reported last, and when. */
  load?: ReportedLoad & {readonly at: number};
  /** Sends of this node since that report. */
  sentSinceReport: number;
  /** Times of recent failures, oldest first. */
  failures: number[];
  /** Until when it is passed over, as no connection came about. */
  downUntil: number;
  downMs: number;
  /** Times of recent sends, oldest first; kept for the cold limit. */
  sends: number[];
  lastAnswerAt: number;
  /** Prompt parts sent to it, by model and the parts before, and when. */
  readonly parts: Map<string, number>;
  /** When its entry went while the store was away; absent: it is there. */
  missingSince?: number;
}

/** An order and the revision that identifies it. */
export interface KnownOrder extends RolloutOrder {
  readonly revision: number;
  /** When this node learnt of it; monotonic milliseconds. */
  readonly seenAt: number;
}

/** Another node, or this one, as it is registered. */
export interface Member extends ListedNode, RendezvousMember {
  /** Where it listens for other nodes. */
  readonly address: string;
}

/** Connections to other nodes, once their key is known. */
export interface PeerConnections {
  key?: string;
  client?: PeerClient;
}

/** Everything that one node knows and owns. */
export interface EntryNode extends RendezvousMember {
  readonly settings: EntrySettings;
  readonly incarnation: string;
  readonly log: Log;
  readonly metrics: EntryMetrics;
  readonly manager: ResourceManager;
  readonly keyspace: Keyspace;
  /** Connections to upstreams. */
  readonly agent: http.Agent;
  /** Monotonic milliseconds. */
  readonly clock: () => number;
  readonly random: () => number;
  /** Configuration in force; absent until the first one is read. */
  routes?: RouteIndex;
  readonly upstreams: Map<string, UpstreamState>;
  /** Failure domains that operators have taken out. */
  readonly evacuated: Set<string>;
  readonly orders: Map<string, KnownOrder>;
  readonly versions: Versions;
  readonly models: ModelStatistics;
  readonly load: SharedLoad;
  readonly holding: HolderState;
  readonly peers: PeerConnections;
  readonly retries: Map<string, RetryWindow>;
  /** Nodes that are registered, by name. */
  readonly members: Map<string, Member>;
  /** Most nodes that were registered at one time. */
  mostMembers: number;
  /** When the configuration was last current; see `freshness.ts`. */
  confirmedAt?: number;
  /** What is known of the store, and where changes come from. */
  readonly feed: Feed;
  readonly following: Following;
  /** Whether the store cannot be reached now, by any way. */
  storeLost: boolean;
  /** When the store was reached again after it had been lost. */
  storeReturnedAt?: number;
  /** Writes a decision line, unless the rate limit drops it. */
  readonly note: (decision: string, fields: Record<string, unknown>) => void;
  /** Called with each configuration that comes into force. */
  onTable: (table: RoutingTable) => void;
  /** Called once the key of the nodes is known. */
  onPeerKey: (key: string) => void;
  /** Milliseconds that also count suspensions of the machine. */
  readonly continuousClock: () => number;
  /** Whether callers are being served. */
  serving: boolean;
  stopping: boolean;
  /** Whether new requests are refused, as the node stops. */
  refusing: boolean;
  active: number;
}

/** Creates a node that has not started. */
export function createEntryNode(settings: EntrySettings): EntryNode {
  const log = createLog(settings.logLevel, settings.node);
  const manager = createManager((name, error) => {
    if (error === undefined) log.info({part: name}, 'stopped');
    else log.error({part: name, error: String(error)}, 'failed to stop');
  });
  const metrics = createEntryMetrics();
  const elapsed = createContinuousClock(performance.now(), Date.now());
  return {
    settings,
    digest: hashName(settings.node),
    incarnation: randomUUID(),
    log,
    metrics,
    note: createDecisionLog(log, metrics.droppedLines),
    manager,
    keyspace: openKeyspace(
      settings.store.address,
      PLATFORM_STORE,
      settings.store.timeoutMs,
    ),
    agent: new http.Agent({keepAlive: false, maxSockets: Infinity}),
    clock: () => performance.now(),
    random: Math.random,
    upstreams: new Map(),
    evacuated: new Set(),
    orders: new Map(),
    versions: createVersions(),
    models: createModelStatistics(),
    load: createSharedLoad(),
    holding: createHolderState(),
    peers: {},
    retries: new Map(),
    members: new Map(),
    mostMembers: 1,
    feed: createFeed(),
    following: createFollowing(),
    storeLost: false,
    onTable: () => {},
    onPeerKey: () => {},
    continuousClock: () =>
      readContinuousClock(elapsed, performance.now(), Date.now()),
    serving: false,
    stopping: false,
    refusing: false,
    active: 0,
  };
}
