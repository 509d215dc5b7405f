/** Settings of an entry node: JSON with comments. */
import type {Failure} from '@parsleyarch/errors/failure';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {readSettings} from '../settings-file.js';

const Address = z
  .string()
  .regex(/^[0-9.]+:\d{1,5}$/, 'expected an address such as 10.0.0.1:8080');
const milliseconds = z.number().nonnegative();

const EntrySettings = z.strictObject({
  node: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Listener for callers. */
  callers: Address,
  /** Listener for readiness probes of the load balancer. */
  readiness: Address,
  /** Listener for other nodes. */
  peers: Address,
  /** Listener for requests that other nodes delegate to this one. */
  delegation: Address,
  /** Listener for metrics. */
  metrics: Address,
  store: z.strictObject({
    address: z.url(),
    timeoutMs: milliseconds.default(1_000),
  }),
  configuration: z.strictObject({
    /** Maximum time until a change is in force on all nodes. */
    applyMs: milliseconds.positive(),
  }),
  keys: z.strictObject({
    /** Whether keys are refused while the configuration may be stale. */
    failClosed: z.boolean(),
    /** Maximum time until a withdrawn key is refused. */
    revokeMs: milliseconds,
  }),
  retries: z.strictObject({
    /** Retries allowed per first send. */
    ratio: z.number().nonnegative(),
    windowSeconds: z.number().positive(),
    /** Retries allowed on top of that in a window, for all nodes together. */
    slack: z.number().nonnegative(),
  }),
  cold: z.strictObject({
    /** Factor on the declared rate of a cold upstream; bounds all nodes together. */
    over: z.number().positive(),
    /** Requests allowed on top of that, per second. */
    slack: z.number().nonnegative(),
  }),
  rollout: z.strictObject({
    /** Maximum share of a service's requests that a faulty version may receive. */
    exposeShare: z.number().min(0).max(1),
    /** Requests that it may receive on top of that share. */
    exposeSlack: z.number().nonnegative(),
    /** Idle time after which a session ends. */
    sessionSeconds: z.number().positive(),
  }),
  stop: z.strictObject({
    /** Maximum time from SIGTERM to the end of the process. */
    graceSeconds: z.number().positive(),
  }),
  balancing: z
    .strictObject({
      /**
       * How upstreams are chosen where load of other nodes is old: by the level to which
       * all nodes fill them, or by comparing a few random ones.
       */
      oldLoad: z.enum(['level', 'sample']).default('level'),
    })
    .default({oldLoad: 'level'}),
  /** Resources of the machine that the node runs on; a limit left out is unknown. */
  machine: z
    .strictObject({
      /** Share of the time of each core that the process may use. */
      processorShare: z.number().positive().optional(),
      cores: z.number().positive().optional(),
      memoryMb: z.number().positive().optional(),
      /** File descriptors that the process may open. */
      maxDescriptors: z.number().int().positive().optional(),
      linkMbps: z.number().positive().optional(),
    })
    .default({}),
  /** Limits on clients; those left out follow from the machine. */
  clients: z
    .strictObject({
      /** Memory for request bodies, answers and bytes that callers have not read. */
      heldMb: z.number().positive().optional(),
      /** Open connections of callers and of nodes that delegate requests. */
      connections: z.number().int().positive().optional(),
      /** Requests that are served at the same time. */
      requests: z.number().int().positive().optional(),
      /** Requests of one connection that are not answered. */
      pipelined: z.number().int().positive().default(8),
      /** Time for which the body of a refused request is still received. */
      refusedBodyMs: milliseconds.default(2_000),
      /** Bytes of a stream that its caller may leave unread before its upstream waits. */
      streamBufferKb: z.number().positive().default(256),
      /** Time for which an upstream may wait for a caller that does not read. */
      heldBackMs: milliseconds.default(2_000),
      /** Time for which a caller may leave a complete answer unread. */
      unreadMs: milliseconds.positive().default(10_000),
    })
    .prefault({}),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

/** Validated settings with defaults applied. */
export type EntrySettings = z.infer<typeof EntrySettings>;

/** Reads and validates a settings file. */
export function loadEntrySettings(
  file: string,
): Result<EntrySettings, Failure> {
  return readSettings(EntrySettings, file);
}
