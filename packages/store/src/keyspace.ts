/**
 * Client of a key-value store with one global revision counter: ranges, watches,
 * conditional transactions and leases. A dialect encodes the calls and decodes
 * the answers.
 */
import {failure, messageOf, type Failure} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {sendCall, type Endpoint, type Reply, type StoreCall} from './http.js';

export type {StoreCall} from './http.js';

/** An item; without a value, the deletion of its key. */
export interface StoredItem {
  readonly key: string;
  /** Revision of its last change. */
  readonly revision: number;
  readonly value?: Buffer;
}

/** One page of a range. */
export interface StoredPage {
  readonly items: readonly StoredItem[];
  readonly hasMore: boolean;
  /** Revision of the store when it answered. */
  readonly revision: number;
}

/** Changes after a revision, up to and including `revision`. */
export interface StoredEvents {
  readonly items: readonly StoredItem[];
  readonly revision: number;
  /**
   * Number of times that the store was restored from a copy. Revisions may be
   * given out again after that, so they are ordered only within an era.
   */
  readonly era: number;
}

/** An atomic write with preconditions. */
export interface Transaction {
  /** Revisions that keys must have; 0 if the key must not exist. */
  readonly expected: readonly {key: string; revision: number}[];
  readonly writes: readonly {key: string; value: Buffer; lease?: number}[];
  readonly removed: readonly string[];
}

/** A granted lease; `lease` is its ID. */
export interface Lease {
  readonly lease: number;
  readonly ttlMs: number;
}

/** Wire format of a store. The `read*` functions throw on a malformed body. */
export interface StoreDialect {
  range(prefix: string, after: string): StoreCall;
  watch(prefix: string, revision: number, waitMs: number): StoreCall;
  commit(transaction: Transaction): StoreCall;
  grantLease(ttlMs: number): StoreCall;
  renewLease(lease: number): StoreCall;
  revokeLease(lease: number): StoreCall;
  readPage(body: unknown): StoredPage;
  readEvents(body: unknown): Omit<StoredEvents, 'era'>;
  /** Era of an answer; `undefined` if it states none. */
  readEra(headers: http.IncomingHttpHeaders): number | undefined;
  readCommit(body: unknown): number;
  readLease(body: unknown): Lease;
}

/** A client: its connections, dialect and call counts. */
export interface Keyspace extends Endpoint {
  readonly dialect: StoreDialect;
  /** Time limit of a call, milliseconds. */
  readonly timeoutMs: number;
  /** Number of calls made, by kind. */
  readonly calls: Map<string, number>;
  /** Latest era that an answer stated; 0 if none did. */
  era: number;
}

/** Creates a client. No connection is opened before the first call. */
export function openKeyspace(
  address: string,
  dialect: StoreDialect,
  timeoutMs: number,
): Keyspace {
  const agent = new http.Agent({keepAlive: true, maxSockets: 16});
  const url = new URL(address);
  return {address: url, agent, dialect, timeoutMs, calls: new Map(), era: 0};
}

/** Closes the client's connections. */
export function closeKeyspace(keyspace: Keyspace): void {
  keyspace.agent.destroy();
}

function unavailable(text: string): Failure {
  return failure('store-unavailable', text, {retryAfterMs: 1_000});
}

function eraOf({dialect, era}: Keyspace, {headers}: Reply): number {
  return dialect.readEra(headers) ?? era;
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
    const reply = await sendCall(keyspace, request, timeoutMs);
    const era = eraOf(keyspace, reply);
    if (era < keyspace.era)
      return err(unavailable(`${kind}: the answer is of an earlier era`));
    keyspace.era = era;
    return read(reply);
  } catch (thrown) {
    return err(unavailable(`${kind}: ${messageOf(thrown)}`));
  }
}

const unexpectedStatus = (kind: string, {status}: Reply) =>
  err(unavailable(`${kind}: the store answered ${status}`));

/** Number of times that a read is started over as the era changed during it. */
const MAX_READ_RESTARTS = 2;

/** Reads the current items of a prefix, all of one era. */
export async function readPrefix(
  keyspace: Keyspace,
  prefix: string,
): Promise<Result<StoredEvents, Failure>> {
  for (let restarts = 0; restarts <= MAX_READ_RESTARTS; restarts += 1) {
    const read = await readPages(keyspace, prefix);
    if (read.isErr() || read.value)
      return read as Result<StoredEvents, Failure>;
  }
  return err(unavailable('range: the era of the store keeps changing'));
}

/** Reads a prefix page by page; `undefined` if the era changed on the way. */
async function readPages(
  keyspace: Keyspace,
  prefix: string,
): Promise<Result<StoredEvents | undefined, Failure>> {
  const items: StoredItem[] = [];
  let firstEra: number | undefined;
  // The revision of the first page, so that a watch from it delivers every change
  // made between two pages.
  let firstRevision: number | undefined;
  let after = '';
  for (;;) {
    const request = keyspace.dialect.range(prefix, after);
    const page = await call(keyspace, 'range', request, reply =>
      reply.status === 200
        ? ok({
            ...keyspace.dialect.readPage(reply.body),
            era: eraOf(keyspace, reply),
          })
        : unexpectedStatus('range', reply),
    );
    if (page.isErr()) return err(page.error);
    firstEra ??= page.value.era;
    if (page.value.era !== firstEra) return ok(undefined);
    items.push(...page.value.items);
    firstRevision ??= page.value.revision;
    const last = page.value.items.at(-1);
    if (!page.value.hasMore || !last)
      return ok({items, revision: firstRevision, era: firstEra});
    after = last.key;
  }
}

/** Status of a watch from a revision that the store has compacted. */
const HTTP_GONE = 410;
const HTTP_NOT_FOUND = 404;
const HTTP_PRECONDITION_FAILED = 412;

/** Waits for changes after a revision; `undefined` if it has been compacted. */
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
      if (reply.status !== 200) return unexpectedStatus('watch', reply);
      const era = eraOf(keyspace, reply);
      return ok({...keyspace.dialect.readEvents(reply.body), era});
    },
    waitMs + keyspace.timeoutMs,
  );
}

/**
 * Commits a transaction and resolves to its revision, or to `undefined` if a
 * precondition failed or a lease has expired.
 */
export function commitTransaction(
  keyspace: Keyspace,
  transaction: Transaction,
): Promise<Result<number | undefined, Failure>> {
  const request = keyspace.dialect.commit(transaction);
  return call<number | undefined>(keyspace, 'commit', request, reply => {
    const {status} = reply;
    if (status === HTTP_PRECONDITION_FAILED || status === HTTP_NOT_FOUND)
      return ok(undefined);
    if (status !== 200) return unexpectedStatus('commit', reply);
    return ok(keyspace.dialect.readCommit(reply.body));
  });
}

/**
 * Grants a lease. Its time runs from the arrival of the call at the store, so
 * less than `ttlMs` is left when the answer arrives.
 */
export function grantLease(
  keyspace: Keyspace,
  ttlMs: number,
): Promise<Result<Lease, Failure>> {
  const request = keyspace.dialect.grantLease(ttlMs);
  return call(keyspace, 'lease', request, reply =>
    reply.status === 200
      ? ok(keyspace.dialect.readLease(reply.body))
      : unexpectedStatus('lease', reply),
  );
}

/** Renews a lease; false if it has expired. */
export function renewLease(
  keyspace: Keyspace,
  lease: number,
): Promise<Result<boolean, Failure>> {
  const request = keyspace.dialect.renewLease(lease);
  return call<boolean>(keyspace, 'keep', request, reply => {
    if (reply.status === HTTP_NOT_FOUND) return ok(false);
    return reply.status === 200 ? ok(true) : unexpectedStatus('keep', reply);
  });
}

/** Revokes a lease, which deletes its keys; an expired lease counts as revoked. */
export function revokeLease(
  keyspace: Keyspace,
  lease: number,
): Promise<Result<boolean, Failure>> {
  const request = keyspace.dialect.revokeLease(lease);
  return call<boolean>(keyspace, 'end-lease', request, reply =>
    reply.status < 300 || reply.status === HTTP_NOT_FOUND
      ? ok(true)
      : unexpectedStatus('end-lease', reply),
  );
}
