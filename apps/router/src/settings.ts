/** Settings of a node: JSON with comments. */
import type {Failure} from '@parsleyarch/errors/failure';
import type {Result} from 'neverthrow';
import * as z from 'zod';
import {checkSettings, readSettings} from './settings-file.js';

const Listener = z.strictObject({
  host: z.string(),
  port: z.number().int().min(0).max(65_535),
});

const Settings = z.strictObject({
  /** Name of the VM in the platform's VM list. */
  node: z.string().regex(/^[a-z0-9][a-z0-9-]{0,30}$/),
  failureDomain: z.string(),
  callers: Listener,
  operators: Listener,
  peers: Listener,
  store: z.strictObject({
    address: z.url(),
    readsPerSecond: z.number().positive().default(20),
    writesPerSecond: z.number().positive().default(30),
    timeoutMs: z.number().int().positive().default(1_000),
  }),
  vmList: z.strictObject({address: z.url()}),
  rater: z.strictObject({address: z.url(), costMicros: z.number()}).optional(),
  /** Key for calls between nodes; the same on all nodes. */
  peerKey: z.string().min(16),
  /** Key that signs session tokens; the same on all nodes. */
  sessionKey: z.string().min(16),
  operatorKeys: z
    .array(
      z.strictObject({
        author: z.string(),
        /** SHA-256 of the bearer key, in hexadecimal. */
        keyHash: z.string().regex(/^[0-9a-f]{64}$/),
      }),
    )
    .min(1),
  stop: z
    .strictObject({
      /** Time for the load balancer to detect that the node is not ready. */
      balancerLagMs: z.number().int().nonnegative().default(2_000),
      /** Maximum wait for requests in flight. */
      graceMs: z.number().int().positive().default(120_000),
    })
    .default({balancerLagMs: 2_000, graceMs: 120_000}),
  rollout: z
    .strictObject({minStepMs: z.number().int().nonnegative().default(60_000)})
    .default({minStepMs: 60_000}),
  upstreamIdleMs: z.number().int().positive().default(10_000),
  logLevel: z
    .enum(['debug', 'info', 'warn', 'error', 'silent'])
    .default('info'),
});

/** Validated settings with defaults applied. */
export type Settings = z.infer<typeof Settings>;

/** Validates settings; reports each error with file, line and expected value. */
export function parseSettings(
  text: string,
  file: string,
): Result<Settings, Failure> {
  return checkSettings(Settings, text, file);
}

/** Reads and validates the settings file of a node. */
export function loadSettings(file: string): Result<Settings, Failure> {
  return readSettings(Settings, file);
}
