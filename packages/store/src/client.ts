/**
 * Client of the platform's key-value service: compare-and-swap, leases and
 * long-poll watches over HTTP and JSON. The only module that knows its wire
 * format (docs/API.md, "Platform store").
 */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {spend, type Budget} from './budget.js';
import {sendCall} from './http.js';

const StoredItem = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
});
const Items = z.object({items: z.array(StoredItem)});
const Written = z.object({version: z.number()});

/** A stored value with its version; versions of a key grow. */
export type Stored = Readonly<z.infer<typeof StoredItem>>;

/** The answer to a conditional write. */
export const WriteOutcome = {
  /** The write took effect. */
  created: 'created',
  /** The condition did not hold; nothing was written. */
  exists: 'exists',
  /** No answer: the write may or may not have taken effect. */
  lost: 'lost',
  /** The store refused the call before doing anything. */
  refused: 'refused',
} as const;
export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** The answer to a conditional write, with the new version when it is known. */
export interface WriteResult {
  readonly outcome: WriteOutcome;
  readonly version?: number;
}

/** A client's connections and call budget. */
export interface Store {
  readonly address: URL;
  readonly agent: http.Agent;
  readonly budget: Budget;
  /** Time after which a call without answer counts as lost, milliseconds. */
  readonly timeoutMs: number;
}

/** Opens a client; nothing is sent until the first call. */
export function openStore(
  address: string,
  budget: Budget,
  timeoutMs = 1_000,
): Store {
  const agent = new http.Agent({keepAlive: true, maxSockets: 16});
  return {address: new URL(address), agent, budget, timeoutMs};
}

/** Closes the client's connections; calls in flight count as lost. */
export function closeStore(store: Store): void {
  store.agent.destroy();
}

function unavailable(text: string): Failure {
  return failure('store-unavailable', text, {retryAfterMs: 1_000});
}

async function readCall<T>(
  store: Store,
  path: string,
  schema: z.ZodType<T>,
  timeoutMs: number,
): Promise<Result<T | undefined, Failure>> {
  if (!spend(store.budget, 'read')) {
    return err(unavailable('the read budget of this node is used up'));
  }
  try {
    const reply = await sendCall(store, {method: 'GET', path}, timeoutMs);
    if (reply.status === 404) return ok(undefined);
    if (reply.status !== 200)
      return err(unavailable(`the store answered ${reply.status}`));
    const parsed = schema.safeParse(reply.body);
    if (parsed.success) return ok(parsed.data);
    return err(unavailable('the store answered something else'));
  } catch (thrown) {
    return err(unavailable(messageOf(thrown)));
  }
}

/** Reads one key; `undefined` when it is absent. */
export async function readKey(
  store: Store,
  key: string,
): Promise<Result<Stored | undefined, Failure>> {
  const path = `/kv/${encodeURIComponent(key)}`;
  return readCall(store, path, StoredItem, store.timeoutMs);
}

/** An absent range would pass for an empty one, and so confirm a revision. */
function itemsOf(
  found: z.infer<typeof Items> | undefined,
): Result<Stored[], Failure> {
  if (found) return ok(found.items);
  return err(unavailable('the store has no ranges here'));
}

/** Reads up to `limit` keys of a prefix in key order, after a given key. */
export async function readRange(
  store: Store,
  prefix: string,
  after: string,
  limit: number,
): Promise<Result<Stored[], Failure>> {
  const query = new URLSearchParams({prefix, after, limit: String(limit)});
  const reply = await readCall(store, `/kv?${query}`, Items, store.timeoutMs);
  return reply.andThen(itemsOf);
}

/**
 * Waits up to `waitMs` for keys of a prefix beyond `after` and returns them, or
 * nothing when the time runs out. Counts as one read.
 */
export async function watchRange(
  store: Store,
  prefix: string,
  after: string,
  waitMs: number,
): Promise<Result<Stored[], Failure>> {
  const query = new URLSearchParams({prefix, after, waitMs: String(waitMs)});
  const timeoutMs = waitMs + store.timeoutMs;
  const reply = await readCall(store, `/watch?${query}`, Items, timeoutMs);
  return reply.andThen(itemsOf);
}

const WRITE_OUTCOMES: Readonly<Record<number, WriteOutcome>> = {
  412: WriteOutcome.exists,
  429: WriteOutcome.refused,
};

async function write(
  store: Store,
  key: string,
  value: unknown,
  condition: http.OutgoingHttpHeaders,
): Promise<WriteResult> {
  if (!spend(store.budget, 'write')) return {outcome: WriteOutcome.refused};
  const path = `/kv/${encodeURIComponent(key)}`;
  try {
    const call = {method: 'PUT', path, body: {value}, headers: condition};
    const reply = await sendCall(store, call, store.timeoutMs);
    if (reply.status === 200) {
      const written = Written.safeParse(reply.body);
      if (!written.success) return {outcome: WriteOutcome.lost};
      return {outcome: WriteOutcome.created, version: written.data.version};
    }
    return {outcome: WRITE_OUTCOMES[reply.status] ?? WriteOutcome.lost};
  } catch {
    return {outcome: WriteOutcome.lost};
  }
}

/** Creates a key only when it is absent. */
export function createKey(
  store: Store,
  key: string,
  value: unknown,
): Promise<WriteResult> {
  return write(store, key, value, {'if-none-match': '*'});
}

/** Replaces a key only at a known version. */
export function swapKey(
  store: Store,
  key: string,
  value: unknown,
  version: number,
): Promise<WriteResult> {
  return write(store, key, value, {'if-match': String(version)});
}
