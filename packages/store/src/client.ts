/**
 * Client of the platform's key-value service: range reads, compare-and-swap and
 * long-poll watches over HTTP and JSON. The only module that knows its wire
 * format (docs/API.md, "Platform store").
 */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';
import {tryAcquire, type Budget} from './budget.js';
import {sendCall} from './http.js';

const StoredItem = z.object({
  key: z.string(),
  value: z.unknown(),
  version: z.number(),
});
const Items = z.object({items: z.array(StoredItem)});
const Written = z.object({version: z.number()});

/** A stored value with its version, which increases with each write of the key. */
export type VersionedItem = Readonly<z.infer<typeof StoredItem>>;

/** Outcome of a conditional write. */
export const WriteOutcome = {
  /** The write was applied. */
  created: 'created',
  /** The precondition failed; nothing was written. */
  exists: 'exists',
  /** No valid answer arrived: the write may or may not have been applied. */
  lost: 'lost',
  /** Rejected by the rate limit, here or in the store; nothing was written. */
  refused: 'refused',
} as const;
export type WriteOutcome = (typeof WriteOutcome)[keyof typeof WriteOutcome];

/** Outcome of a conditional write, with the new version if it is known. */
export interface WriteResult {
  readonly outcome: WriteOutcome;
  readonly version?: number;
}

/** Connections and call budget of a client. */
export interface Store {
  readonly address: URL;
  readonly agent: http.Agent;
  readonly budget: Budget;
  /** Time limit of a call, milliseconds. */
  readonly timeoutMs: number;
}

/** Creates a client. No connection is opened before the first call. */
export function openStore(
  address: string,
  budget: Budget,
  timeoutMs = 1_000,
): Store {
  const agent = new http.Agent({keepAlive: true, maxSockets: 16});
  return {address: new URL(address), agent, budget, timeoutMs};
}

/** Closes the connections; writes in flight end as `lost`, reads as failures. */
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
  if (!tryAcquire(store.budget, 'read')) {
    return err(unavailable('the read budget of this node is exhausted'));
  }
  try {
    const reply = await sendCall(store, {method: 'GET', path}, timeoutMs);
    if (reply.status === 404) return ok(undefined);
    if (reply.status !== 200)
      return err(unavailable(`the store answered ${reply.status}`));
    const parsed = schema.safeParse(reply.body);
    if (parsed.success) return ok(parsed.data);
    return err(unavailable('the store answered with an unexpected body'));
  } catch (thrown) {
    return err(unavailable(messageOf(thrown)));
  }
}

/** Reads one key; `undefined` if it does not exist. */
export async function readKey(
  store: Store,
  key: string,
): Promise<Result<VersionedItem | undefined, Failure>> {
  const path = `/kv/${encodeURIComponent(key)}`;
  return readCall(store, path, StoredItem, store.timeoutMs);
}

/**
 * Turns a 404 on a range into a failure. Read as an empty range, it would confirm
 * the reader's revision as the latest.
 */
function requireItems(
  found: z.infer<typeof Items> | undefined,
): Result<VersionedItem[], Failure> {
  if (found) return ok(found.items);
  return err(unavailable('the store answered 404 to a range read'));
}

/** Reads up to `limit` keys of a prefix in key order, starting after a key. */
export async function readRange(
  store: Store,
  prefix: string,
  after: string,
  limit: number,
): Promise<Result<VersionedItem[], Failure>> {
  const query = new URLSearchParams({prefix, after, limit: String(limit)});
  const reply = await readCall(store, `/kv?${query}`, Items, store.timeoutMs);
  return reply.andThen(requireItems);
}

/**
 * Waits up to `waitMs` for keys of a prefix that sort after `after`. Resolves to
 * an empty array on timeout. Uses one read of the budget.
 */
export async function watchRange(
  store: Store,
  prefix: string,
  after: string,
  waitMs: number,
): Promise<Result<VersionedItem[], Failure>> {
  const query = new URLSearchParams({prefix, after, waitMs: String(waitMs)});
  const timeoutMs = waitMs + store.timeoutMs;
  const reply = await readCall(store, `/watch?${query}`, Items, timeoutMs);
  return reply.andThen(requireItems);
}

const OUTCOME_BY_STATUS: Readonly<Record<number, WriteOutcome>> = {
  412: WriteOutcome.exists,
  429: WriteOutcome.refused,
};

async function write(
  store: Store,
  key: string,
  value: unknown,
  condition: http.OutgoingHttpHeaders,
): Promise<WriteResult> {
  if (!tryAcquire(store.budget, 'write'))
    return {outcome: WriteOutcome.refused};
  const path = `/kv/${encodeURIComponent(key)}`;
  try {
    const call = {method: 'PUT', path, body: {value}, headers: condition};
    const reply = await sendCall(store, call, store.timeoutMs);
    if (reply.status === 200) {
      const written = Written.safeParse(reply.body);
      if (!written.success) return {outcome: WriteOutcome.lost};
      return {outcome: WriteOutcome.created, version: written.data.version};
    }
    return {outcome: OUTCOME_BY_STATUS[reply.status] ?? WriteOutcome.lost};
  } catch {
    return {outcome: WriteOutcome.lost};
  }
}

/** Creates a key only if it does not exist. */
export function createKey(
  store: Store,
  key: string,
  value: unknown,
): Promise<WriteResult> {
  return write(store, key, value, {'if-none-match': '*'});
}

/** Replaces a key only if it still has the given version. */
export function replaceKey(
  store: Store,
  key: string,
  value: unknown,
  version: number,
): Promise<WriteResult> {
  return write(store, key, value, {'if-match': String(version)});
}
