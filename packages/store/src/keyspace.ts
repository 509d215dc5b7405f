/**
 * Client of a store with one revision counter: ranges, watches, conditional
 * transactions and leases. A dialect maps each call to the wire.
 */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {sendCall, type Endpoint, type Reply, type StoreCall} from './http.js';

export type {StoreCall} from './http.js';

/** An item, or its deletion when it has no value. */
export interface StoredItem {
  readonly key: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly value?: Buffer;
}

/** Items of one page of a range. */
export interface StoredPage {
  readonly items: readonly StoredItem[];
  readonly hasMore: boolean;
  /** The store's revision at the answer. */
  readonly revision: number;
}

/** Changes after a revision, up to another. */
export interface StoredEvents {
  readonly items: readonly StoredItem[];
  readonly revision: number;
}

/** A write under conditions, all or nothing. */
export interface Transaction {
  /** Revisions that keys must have; 0: the key is absent. */
  readonly expected: readonly {key: string; revision: number}[];
  readonly writes: readonly {key: string; value: Buffer; lease?: number}[];
  readonly removed: readonly string[];
}

/** A granted lease. */
export interface Lease {
  readonly lease: number;
  readonly ttlMs: number;
}

/** How a store spells its calls and answers; readers throw on another shape. */
export interface StoreDialect {
  range(prefix: string, after: string): StoreCall;
  watch(prefix: string, revision: number, waitMs: number): StoreCall;
  commit(transaction: Transaction): StoreCall;
  grantLease(ttlMs: number): StoreCall;
  keepLease(lease: number): StoreCall;
  endLease(lease: number): StoreCall;
  readPage(body: unknown): StoredPage;
  readEvents(body: unknown): StoredEvents;
  readCommit(body: unknown): number;
  readLease(body: unknown): Lease;
}

/** A client's connections. */
export interface Keyspace extends Endpoint {
  readonly dialect: StoreDialect;
  /** Time after which a call without answer counts as lost, milliseconds. */
  readonly timeoutMs: number;
  /** Calls made so far, by kind. */
  readonly calls: Map<string, number>;
}

/** Opens a client; nothing is sent until the first call. */
export function openKeyspace(
  address: string,
  dialect: StoreDialect,
  timeoutMs: number,
): Keyspace {
  const agent = new http.Agent({keepAlive: true, maxSockets: 16});
  const url = new URL(address);
  return {address: url, agent, dialect, timeoutMs, calls: new Map()};
}

/** Closes the client's connections. */
export function closeKeyspace(keyspace: Keyspace): void {
  keyspace.agent.destroy();
}

function unavailable(text: string): Failure {
  return failure('store-unavailable', text, {retryAfterMs: 1_000});
}

async function call<T>(
  keyspace: Keyspace,
  kind: string,
  request: StoreCall,
  read: (reply: Reply) => Result<T, Failure>,
  timeoutMs = keyspace.timeoutMs,
): Promise<Result<T, Failure>> {
  keyspace.calls.set(kind, (keyspace.calls.get(kind) ?? 0) + 1);
  try {
    return read(await sendCall(keyspace, request, timeoutMs));
  } catch (thrown) {
    return err(unavailable(`${kind}: ${messageOf(thrown)}`));
  }
}

const unexpected = (kind: string, {status}: Reply) =>
  err(unavailable(`${kind}: the store answered ${status}`));

/** Reads all items of a prefix, page by page, as they are now. */
export async function readAll(
  keyspace: Keyspace,
  prefix: string,
): Promise<Result<StoredEvents, Failure>> {
  const items: StoredItem[] = [];
  // Changes between two pages come again as events after the first revision.
  let first: number | undefined;
  let after = '';
  for (;;) {
    const request = keyspace.dialect.range(prefix, after);
    const page = await call(keyspace, 'range', request, reply =>
      reply.status === 200
        ? ok(keyspace.dialect.readPage(reply.body))
        : unexpected('range', reply),
    );
    if (page.isErr()) return err(page.error);
    items.push(...page.value.items);
    first ??= page.value.revision;
    const last = page.value.items.at(-1);
    if (!page.value.hasMore || !last) return ok({items, revision: first});
    after = last.key;
  }
}

/** Status of a watch whose history is no longer held. */
const HTTP_GONE = 410;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;

/** Waits for changes after a revision; `undefined`: the history is gone. */
export function watchChanges(
  keyspace: Keyspace,
  prefix: string,
  revision: number,
  waitMs: number,
): Promise<Result<StoredEvents | undefined, Failure>> {
  const request = keyspace.dialect.watch(prefix, revision, waitMs);
  return call<StoredEvents | undefined>(
    keyspace,
    'watch',
    request,
    reply => {
      if (reply.status === HTTP_GONE) return ok(undefined);
      if (reply.status !== 200) return unexpected('watch', reply);
      return ok(keyspace.dialect.readEvents(reply.body));
    },
    waitMs + keyspace.timeoutMs,
  );
}

/** Commits a transaction; `undefined`: a condition or the lease did not hold. */
export function commit(
  keyspace: Keyspace,
  transaction: Transaction,
): Promise<Result<number | undefined, Failure>> {
  const request = keyspace.dialect.commit(transaction);
  return call<number | undefined>(keyspace, 'commit', request, reply => {
    const {status} = reply;
    if (status === HTTP_PRECONDITION_FAILED || status === HTTP_NOT_FOUND)
      return ok(undefined);
    if (status !== 200) return unexpected('commit', reply);
    return ok(keyspace.dialect.readCommit(reply.body));
  });
}

/** Grants a lease that runs from the arrival of the call. */
export function grantLease(
  keyspace: Keyspace,
  ttlMs: number,
): Promise<Result<Lease, Failure>> {
  const request = keyspace.dialect.grantLease(ttlMs);
  return call(keyspace, 'lease', request, reply =>
    reply.status === 200
      ? ok(keyspace.dialect.readLease(reply.body))
      : unexpected('lease', reply),
  );
}

/** Renews a lease; false: it has ended. */
export function keepLease(
  keyspace: Keyspace,
  lease: number,
): Promise<Result<boolean, Failure>> {
  const request = keyspace.dialect.keepLease(lease);
  return call<boolean>(keyspace, 'keep', request, reply => {
    if (reply.status === HTTP_NOT_FOUND) return ok(false);
    return reply.status === 200 ? ok(true) : unexpected('keep', reply);
  });
}

/** Ends a lease and removes its keys. */
export function endLease(
  keyspace: Keyspace,
  lease: number,
): Promise<Result<boolean, Failure>> {
  const request = keyspace.dialect.endLease(lease);
  return call<boolean>(keyspace, 'end-lease', request, reply =>
    reply.status < 300 || reply.status === HTTP_NOT_FOUND
      ? ok(true)
      : unexpected('end-lease', reply),
  );
}
