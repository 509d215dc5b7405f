/** Shapes of the resources that operators declare. */
import {z} from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const ratio = z.number().min(0).max(1);

/** Rates and allowances of one caller organisation. */
export const Customer = z.strictObject({
  /** SHA-256 of each bearer key, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  /** Models and, when given, the only versions of each that may serve. */
  models: z.array(
    z.strictObject({model: name, versions: z.array(name).optional()}),
  ),
  services: z.array(name).default([]),
  /** Sustained admission rate over all nodes. */
  requestsPerSecond: z.number().positive().default(100),
  /** Share of a contended pool relative to other customers. */
  weight: z.number().positive().default(1),
});

/** A named model; its versions carry cost and quality. */
export const Model = z.strictObject({
  description: z.string().default(''),
  /** Version for sessions when no roll-out decides. */
  defaultVersion: name,
});

/** One version of a model. */
export const Version = z.strictObject({
  model: name,
  state: z.enum(['active', 'withdrawn']).default('active'),
  /** Price of one generated token, in micro-units of currency. */
  tokenCost: z.number().nonnegative(),
  /** Expected milliseconds to the first token. */
  firstTokenMs: z.number().positive().default(200),
  /** Expected milliseconds between tokens. */
  tokenMs: z.number().positive().default(20),
  /** Upstreams with slots that are to hold the version at the least. */
  minReplicas: z.number().int().nonnegative().default(0),
  /** Quality assumed per task class until ratings arrive. */
  quality: z.record(z.string(), ratio).default({}),
});

/** A gradual move of a model's sessions from one version to another. */
export const Rollout = z.strictObject({
  model: name,
  from: name,
  to: name,
  /** Share of session buckets on the new version at each step, in percent. */
  steps: z.array(z.number().min(0).max(100)).min(1).default([1, 10, 50, 100]),
  step: z.number().int().nonnegative().default(0),
  state: z
    .enum(['running', 'paused', 'done', 'rolled-back'])
    .default('running'),
});

/** A zone that fails as a whole. */
export const FailureDomain = z.strictObject({
  region: name,
  state: z.enum(['in', 'out']).default('in'),
});

/** One model engine or service instance. */
export const Upstream = z.strictObject({
  failureDomain: name,
  /** Base URL. */
  address: z.url(),
  /** Versions that an engine serves; empty for plain services. */
  versions: z.array(name).default([]),
  /**
   * Versions that the engine can hold at once, if the router is to place them;
   * what it then serves is what it reports, not `versions`.
   */
  slots: z.number().int().positive().optional(),
  /** The plain service that this instance belongs to. */
  service: name.optional(),
  /** Concurrency that the upstream bears just after a start. */
  coldLimit: z.number().int().positive().default(1),
  /** Concurrency that the upstream bears when warm. */
  warmLimit: z.number().int().positive().default(8),
  /** Its VM as the platform lists it, to learn when that is leaving. */
  vm: z.string().optional(),
  state: z.enum(['in', 'draining']).default('in'),
  /** Whether the engine refuses orders with an old fencing number. */
  checksOrders: z.boolean().default(true),
});

/** A plain service beside the model engines. */
export const Service = z.strictObject({
  /** Calls in matching order; the first prefix that fits decides. */
  calls: z.array(
    z.strictObject({
      method: z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
      pathPrefix: z.string().startsWith('/'),
      repeatable: z.boolean(),
    }),
  ),
  /** Whether the service itself drops repeats of one Idempotency-Key. */
  deduplicates: z.boolean().default(false),
});

/** The node that grants concurrency credits for a group of upstreams. */
export const Allocator = z.strictObject({
  /** Node that holds the group; written by nodes, not by operators. */
  node: name,
  /** Start of the holder's process; a restarted node is another holder. */
  incarnation: z.number(),
  /** Grows with each change of holder. */
  epoch: z.number().int().nonnegative(),
  /** Whether the holder has stopped granting and leaves the group to others. */
  released: z.boolean().default(false),
});

/** Schema of each kind of resource. */
export const SCHEMAS = {
  Customer,
  Model,
  Version,
  Rollout,
  FailureDomain,
  Upstream,
  Service,
  Allocator,
} as const;

/** Name of a kind of resource. */
export type Kind = keyof typeof SCHEMAS;
/** Every kind, in the order in which they are listed. */
export const KINDS = Object.keys(SCHEMAS) as Kind[];

/** Declared part of a Customer. */
export type CustomerSpec = z.infer<typeof Customer>;
/** Declared part of a Version. */
export type VersionSpec = z.infer<typeof Version>;
/** Declared part of a Rollout. */
export type RolloutSpec = z.infer<typeof Rollout>;
/** Declared part of a Upstream. */
export type UpstreamSpec = z.infer<typeof Upstream>;
/** Declared part of a Service. */
export type ServiceSpec = z.infer<typeof Service>;
/** Declared part of an Allocator. */
export type AllocatorSpec = z.infer<typeof Allocator>;

/** The declared part of a resource, by kind. */
export type Spec<K extends Kind> = z.infer<(typeof SCHEMAS)[K]>;

/** A resource with the log revision that last wrote it. */
export interface Resource<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  readonly spec: Spec<K>;
  readonly revision: number;
  /** Who made the last change. */
  readonly author: string;
}

/** A resource name as it may appear in a path or a declaration. */
export const Name = name;
