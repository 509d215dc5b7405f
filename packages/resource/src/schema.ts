/** Schemas of the resources that operators declare. */
import * as z from 'zod';

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/);
const ratio = z.number().min(0).max(1);

/** A calling organisation: its keys, permitted models and services, and rates. */
export const Customer = z.strictObject({
  /** SHA-256 of each bearer key, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).min(1),
  /** Permitted models, each optionally restricted to some versions. */
  models: z.array(
    z.strictObject({model: name, versions: z.array(name).optional()}),
  ),
  services: z.array(name).default([]),
  /** Sustained admission rate, summed over all nodes. */
  requestsPerSecond: z.number().positive().default(100),
  /** Share of a contended pool relative to other customers. */
  weight: z.number().positive().default(1),
});

/** A named model; its versions carry cost and quality. */
export const Model = z.strictObject({
  description: z.string().default(''),
  /** Version that serves sessions unless a roll-out decides. */
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
  /** Minimum number of upstreams with slots that keep the version loaded. */
  minReplicas: z.number().int().nonnegative().default(0),
  /** Assumed quality per task class, used until there are ratings. */
  quality: z.record(z.string(), ratio).default({}),
});

/** A gradual migration of a model's sessions from one version to another. */
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

/** A zone whose upstreams fail together. */
export const FailureDomain = z.strictObject({
  region: name,
  state: z.enum(['in', 'out']).default('in'),
});

/** One model engine or service instance. */
export const Upstream = z.strictObject({
  failureDomain: name,
  /** Base URL. */
  address: z.url(),
  /** Versions that an engine serves; empty for instances of plain services. */
  versions: z.array(name).default([]),
  /**
   * Number of versions that the engine can keep loaded at once. If set, the router
   * places versions on it, and those that the engine reports count, not `versions`.
   */
  slots: z.number().int().positive().optional(),
  /** The plain service that this instance belongs to. */
  service: name.optional(),
  /** Concurrency limit just after a start. */
  coldLimit: z.number().int().positive().default(1),
  /** Concurrency limit once warmed up. */
  warmLimit: z.number().int().positive().default(8),
  /** ID of its VM in the platform's list, which announces when a VM is leaving. */
  vm: z.string().optional(),
  state: z.enum(['in', 'draining']).default('in'),
  /** Whether the engine rejects orders with an outdated fencing token. */
  checksOrders: z.boolean().default(true),
});

/** A plain service beside the model engines. */
export const Service = z.strictObject({
  /** Calls in matching order; the first match applies. */
  calls: z.array(
    z.strictObject({
      method: z.enum(['GET', 'POST', 'PUT', 'DELETE', 'PATCH']),
      pathPrefix: z.string().startsWith('/'),
      repeatable: z.boolean(),
    }),
  ),
  /** Whether the service itself deduplicates by Idempotency-Key. */
  deduplicates: z.boolean().default(false),
});

/** The node that grants concurrency credits for a group of upstreams. */
export const Allocator = z.strictObject({
  /** Node that allocates for the group; written by nodes, not by operators. */
  node: name,
  /** Identifies the process start of the node; a restarted node is another holder. */
  incarnation: z.number(),
  /** Incremented with each change of holder. */
  epoch: z.number().int().nonnegative(),
  /** Whether the holder has stopped granting, so that another node can take over. */
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

export type Kind = keyof typeof SCHEMAS;
/** All kinds, in display order. */
export const KINDS = Object.keys(SCHEMAS) as Kind[];

/** Declared part of a Customer. */
export type CustomerSpec = z.infer<typeof Customer>;
/** Declared part of a Version. */
export type VersionSpec = z.infer<typeof Version>;
/** Declared part of a Rollout. */
export type RolloutSpec = z.infer<typeof Rollout>;
/** Declared part of an Upstream. */
export type UpstreamSpec = z.infer<typeof Upstream>;
/** Declared part of a Service. */
export type ServiceSpec = z.infer<typeof Service>;
/** Declared part of an Allocator. */
export type AllocatorSpec = z.infer<typeof Allocator>;

/** The declared part of a resource, by kind. */
export type Spec<K extends Kind> = z.infer<(typeof SCHEMAS)[K]>;

/** A resource with the log revision of its last change. */
export interface Resource<K extends Kind = Kind> {
  readonly kind: K;
  readonly name: string;
  readonly spec: Spec<K>;
  readonly revision: number;
  /** Author of the last change. */
  readonly author: string;
}

/** Resource name, as used in paths and declarations. */
export const Name = name;
