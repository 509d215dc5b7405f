/**
 * Resources of the entry path: the configuration that a node needs to forward a
 * request. Each source of declarations decodes into these types, so that routing
 * does not depend on the source.
 *
 * The entry path (command `route`) forwards HTTP requests by the platform's
 * declarations and without concurrency credits. Other nodes (command `serve`) use
 * the resources of `schema.ts` and credits.
 */

/**
 * How often one attempt of a caller may be executed. The caller sets the ID of an
 * attempt; the router may send it to several upstreams.
 */
export const Repeatability = {
  /** Repeated executions have the effect of one. */
  idempotent: 'idempotent',
  /** At most one execution. */
  once: 'once',
  /** An event stream with at most one execution. */
  stream: 'stream',
  /** An event stream that another upstream can resume after a given event. */
  resumable: 'resumable',
} as const;
export type Repeatability = (typeof Repeatability)[keyof typeof Repeatability];

/** A service that may serve a route; requests are split in proportion to `weight`. */
export interface RouteTarget {
  readonly service: string;
  readonly weight: number;
}

/** Routing rule for requests with one host and path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  readonly repeatability: Repeatability;
  /** Maximum time until a request is answered, milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective: an answer after this loses value, milliseconds. */
  readonly objectiveMs: number;
  /**
   * Maximum number of sends of one request that an upstream may have run.
   * Refused sends are limited separately; see the router's `entry/retries.ts`.
   */
  readonly maxAttempts: number;
  /** Priority class; 0 is the most urgent. */
  readonly priority: number;
  /** Models that the router may choose from, smallest first; empty if it chooses none. */
  readonly models: readonly string[];
  /** Whether requests are served without a key. */
  readonly isPublic: boolean;
  /** Objective for the pause between two events of a stream, milliseconds. */
  readonly pauseObjectiveMs: number;
}

/** A pool of upstreams. */
export interface PooledService {
  readonly name: string;
  readonly healthPath: string;
  /** Warm-up time of an upstream after its start, milliseconds. */
  readonly coldMs: number;
  /** Requests per second that a cold upstream can handle; 0 if no limit is declared. */
  readonly coldPerSecond: number;
  /** Whether its upstreams are model engines. */
  readonly isEngine: boolean;
  /** Price of each model that its upstreams serve; all in the same, arbitrary unit. */
  readonly modelCosts: ReadonlyMap<string, number>;
}

/** The customer that a bearer key belongs to. */
export interface KeyHolder {
  readonly name: string;
  /** Overrides the priority of the route, if given; 0 is the most urgent. */
  readonly priority?: number;
}

/** Size and time limits on requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Complete configuration of the entry path at one version. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, PooledService>;
  /** Customers by bearer key; absent if callers need no keys. */
  readonly keys?: ReadonlyMap<string, KeyHolder>;
  readonly limits: CallerLimits;
}

/** An upstream, as in its own registration. */
export interface RegisteredUpstream {
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly failureDomain: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly draining: boolean;
  /** Remaining warm-up time, milliseconds. */
  readonly coldMs: number;
  /** Identifies one start of the upstream; 0 if unknown. */
  readonly incarnation: number;
}

/** An operator's order to move a service to another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly target: string;
  readonly durationMs: number;
}

/** State of a roll-out, as the router reports it. */
export const RolloutState = {
  running: 'running',
  complete: 'complete',
  reverted: 'reverted',
} as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];
