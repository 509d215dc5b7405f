/**
 * Resources of the entry path: what a node needs to know to forward a request.
 * A source of declarations yields these; the decisions do not know which one.
 */

/** How often one attempt of a caller may run. */
export const Repeatability = {
  /** Any number of runs has the effect of one. */
  idempotent: 'idempotent',
  /** At most one run. */
  once: 'once',
  /** A stream of events that runs at most once. */
  stream: 'stream',
  /** A stream that another upstream may continue after a given event. */
  resumable: 'resumable',
} as const;
export type Repeatability = (typeof Repeatability)[keyof typeof Repeatability];

/** A service that may serve a route, with its share of the requests. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host and path prefix, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeatability: Repeatability;
  /** Longest time that a caller may be kept waiting, milliseconds. */
  readonly timeoutMs: number;
  /** Time within which an answer has its full value, milliseconds. */
  readonly objectiveMs: number;
  /** Upstreams on which one attempt of a caller may run. */
  readonly maxAttempts: number;
  /** Rank; 0 is the most urgent. */
  readonly priority: number;
  /** Models the router may choose from, smallest first; empty: none. */
  readonly models: readonly string[];
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Longest pause between events of a stream that is on time, milliseconds. */
  readonly pauseObjectiveMs: number;
}

/** A pool of upstreams. */
export interface PooledService {
  readonly name: string;
  readonly healthPath: string;
  /** Time for which an upstream stays cold after its start, milliseconds. */
  readonly coldMs: number;
  /** Requests a second that a cold upstream bears; 0: no limit is declared. */
  readonly coldPerSecond: number;
  /** Whether its upstreams are model engines. */
  readonly isEngine: boolean;
  /** Price of each model that its upstreams serve, in any one unit. */
  readonly modelCosts: ReadonlyMap<string, number>;
}

/** A caller organisation as the entry path sees it. */
export interface KeyHolder {
  readonly name: string;
  /** Goes before a route's priority when it is given. */
  readonly priority?: number;
}

/** Bounds on what callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the whole configuration of the entry path. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, PooledService>;
  /** Customers by bearer key; absent when callers need no keys. */
  readonly keys?: ReadonlyMap<string, KeyHolder>;
  readonly limits: CallerLimits;
}

/** An upstream as it registers itself. */
export interface RegisteredUpstream {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly draining: boolean;
  /** How much longer it stays cold, milliseconds. */
  readonly coldMs: number;
  /** Identifies one start of the upstream; 0 when it is not told. */
  readonly incarnation: number;
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

/** What the router reports of a roll-out. */
export const RolloutState = {
  running: 'running',
  complete: 'complete',
  reverted: 'reverted',
} as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];
