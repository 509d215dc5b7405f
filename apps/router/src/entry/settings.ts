/** Settings of an entry node: JSON with comments. */
import type {Failure} from '@parsleyarch/errors/failure';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {readSettings} from '../settings.js';

const Address = z
  .string()
  .regex(/^[0-9.]+:\d{1,5}$/, 'expected an address such as 10.0.0.1:8080');
const milliseconds = z.number().nonnegative();

const EntrySettings = z.strictObject({
  node: z.string().min(1),
  failureDomain: z.string().min(1),
  /** Where callers connect. */
  callers: Address,
  /** Where the balancer asks whether the node is ready. */
  readiness: Address,
  /** Where other nodes call. */
  peers: Address,
  /** Where metrics are served. */
  metrics: Address,
  store: z.strictObject({
    address: z.url(),
    timeoutMs: milliseconds.default(1_000),
  }),
  keys: z.strictObject({
    /** Whether keys are refused while the configuration may be outdated. */
    failClosed: z.boolean(),
    /** Time after its withdrawal at which a key must no longer work. */
    revokeMs: milliseconds,
  }),
  retries: z.strictObject({
    ratio: z.number().nonnegative(),
    windowSeconds: z.number().positive(),
    slack: z.number().nonnegative(),
  }),
  cold: z.strictObject({
    /** Factor on a cold upstream's declared rate, all nodes together. */
    over: z.number().positive(),
    /** Requests a second on top of that. */
    slack: z.number().nonnegative(),
  }),
  rollout: z.strictObject({
    /** Largest share of a service's requests on a version that turns out bad. */
    exposeShare: z.number().min(0).max(1),
    exposeSlack: z.number().nonnegative(),
    /** Idle time after which a session ends. */
    sessionSeconds: z.number().positive(),
  }),
  stop: z.strictObject({
    /** Time from SIGTERM to the end of the process. */
    graceSeconds: z.number().positive(),
  }),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

/** Settings as they were checked, defaults filled in. */
export type EntrySettings = z.infer<typeof EntrySettings>;

/** Reads and checks a settings file. */
export function loadEntrySettings(
  file: string,
): Result<EntrySettings, Failure> {
  return readSettings(EntrySettings, file);
}
