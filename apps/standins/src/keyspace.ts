/**
 * Stand-in for the platform's store with revisions, watches and leases, which
 * entry nodes (`route`) use; `store.ts` is the store of other nodes (`serve`).
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {startServer, type StandInServer} from './http.js';

interface Item {
  readonly key: string;
  /** Base64; absent in the history entry of a removal. */
  readonly value?: string;
  readonly rev: number;
  readonly lease: number;
}

/** How the store treats calls. */
export const StoreBehavior = {
  normal: 'normal',
  /** Responds with 503; calls have no effect. */
  unavailable: 'unavailable',
  /** Never responds; calls have no effect. */
  unresponsive: 'unresponsive',
  /** Executes the call, then closes the connection without a response. */
  losesResponses: 'loses-responses',
} as const;
export type StoreBehavior = (typeof StoreBehavior)[keyof typeof StoreBehavior];

export interface KeyspaceStandIn {
  readonly server: StandInServer;
  readonly items: Map<string, Item>;
  readonly history: Item[];
  /** Call counts by call name, such as `kv-range`. */
  readonly calls: Map<string, number>;
  revision: number;
  behavior: StoreBehavior;
  /** Delay of every call, milliseconds. */
  delayMs: number;
  /** Watches that start before this revision get 410. */
  compactedRevision: number;
  /** Number of restorations; stated in every answer. */
  era: number;
  put(key: string, value: unknown): number;
  /** Writes a value that need not be JSON. */
  putBytes(key: string, value: Buffer): number;
  remove(key: string): void;
  /** Copies the state. */
  copy(): KeyspaceCopy;
  /**
   * Returns to a copy: later writes and all leases with their keys are lost, and
   * waiting watches are cut.
   */
  restore(copy: KeyspaceCopy): void;
  close(): Promise<void>;
}

/** State of the store at some time. */
export interface KeyspaceCopy {
  readonly items: readonly Item[];
  readonly historyLength: number;
  readonly revision: number;
}

interface Lease {
  ttlMs: number;
  timer: NodeJS.Timeout;
}

const PAGE_ITEM_COUNT = 20;
const toWireItem = ({key, value, rev, lease}: Item) =>
  value === undefined
    ? {key, rev, deleted: true}
    : {key, value, rev, create_revision: rev, lease};

interface RequestBody {
  readonly expect_rev?: readonly {key: string; rev: number}[];
  readonly writes?: readonly {key: string; value: string; lease?: number}[];
  readonly remove?: readonly string[];
  readonly ttl_ms?: number;
}

async function readJson(request: IncomingMessage): Promise<RequestBody> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Starts a store on loopback. */
export async function startKeyspace(): Promise<KeyspaceStandIn> {
  const leases = new Map<number, Lease>();
  const watchers = new Set<() => void>();
  const waiting = new Set<ServerResponse>();
  let nextLease = 100;

  const write = (key: string, value: string | undefined, lease = 0) => {
    store.revision += 1;
    const item = {key, value, rev: store.revision, lease};
    if (value === undefined) store.items.delete(key);
    else store.items.set(key, item);
    store.history.push(item);
    for (const wake of [...watchers]) wake();
    return store.revision;
  };
  const expire = (lease: number) => {
    clearTimeout(leases.get(lease)?.timer);
    if (!leases.delete(lease)) return;
    for (const item of [...store.items.values()]) {
      if (item.lease === lease) write(item.key, undefined);
    }
  };
  const renew = (lease: number, ttlMs: number) => {
    clearTimeout(leases.get(lease)?.timer);
    const timer = setTimeout(() => expire(lease), ttlMs).unref();
    leases.set(lease, {ttlMs, timer});
  };
  const send = (
    response: ServerResponse,
    status: number,
    body?: unknown,
  ): void => {
    if (store.behavior === StoreBehavior.losesResponses)
      return void response.destroy();
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': store.era,
    });
    response.end(body === undefined ? '' : JSON.stringify(body));
  };

  const range = (url: URL, response: ServerResponse): void => {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...store.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: found.slice(0, PAGE_ITEM_COUNT).map(toWireItem),
      has_more: found.length > PAGE_ITEM_COUNT,
      as_of: store.revision,
    });
  };
  const watch = (url: URL, response: ServerResponse): void => {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    if (after < store.compactedRevision || after > store.revision)
      return send(response, 410, {});
    const newEvents = () => {
      const events = store.history.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
      return events.length === 0
        ? undefined
        : {events: events.map(toWireItem), as_of: store.revision};
    };
    const finish = (body: unknown) => {
      clearTimeout(timer);
      watchers.delete(wake);
      waiting.delete(response);
      send(response, 200, body);
    };
    const wake = () => {
      const events = newEvents();
      if (events) finish(events);
    };
    const timer = setTimeout(
      () => finish({events: [], as_of: store.revision}),
      waitMs,
    );
    response.on('close', () => {
      clearTimeout(timer);
      watchers.delete(wake);
      waiting.delete(response);
    });
    watchers.add(wake);
    waiting.add(response);
    wake();
  };
  const transact = async (
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const {expect_rev = [], writes = [], remove = []} = await readJson(request);
    for (const {key, rev} of expect_rev) {
      if ((store.items.get(key)?.rev ?? 0) !== rev)
        return send(response, 412, {items: []});
    }
    for (const {lease} of writes) {
      if (lease && !leases.has(lease)) return send(response, 404, {});
    }
    for (const {key, value, lease} of writes) write(key, value, lease);
    for (const key of remove) write(key, undefined);
    send(response, 200, {rev: store.revision});
  };
  const grant = async (request: IncomingMessage, response: ServerResponse) => {
    const {ttl_ms = 1_000} = await readJson(request);
    const lease = (nextLease += 1);
    renew(lease, ttl_ms);
    send(response, 200, {lease, ttl_ms});
  };
  const keepAlive = (url: URL, response: ServerResponse): void => {
    const lease = Number(url.pathname.split('/').at(-1));
    const existing = leases.get(lease);
    if (!existing) return send(response, 404, {});
    renew(lease, existing.ttlMs);
    send(response, 200, {ttl_ms: existing.ttlMs});
  };
  const revoke = (url: URL, response: ServerResponse): void => {
    expire(Number(url.pathname.split('/').at(-1)));
    send(response, 200, {});
  };

  const server = await startServer(0, async (request, response, url) => {
    if (store.delayMs > 0)
      await new Promise(resolve => setTimeout(resolve, store.delayMs));
    const name = url.pathname.split('/')[2];
    store.calls.set(name, (store.calls.get(name) ?? 0) + 1);
    if (store.behavior === StoreBehavior.unresponsive) return;
    if (store.behavior === StoreBehavior.unavailable)
      return void response.writeHead(503).end();
    const handlers: Record<string, () => void | Promise<void>> = {
      'kv-range': () => range(url, response),
      'kv-watch': () => watch(url, response),
      'kv-txn': () => transact(request, response),
      'kv-lease': () => grant(request, response),
      'kv-keep': () => keepAlive(url, response),
      'kv-lease-end': () => revoke(url, response),
    };
    return handlers[name]?.();
  });
  const store: KeyspaceStandIn = {
    server,
    items: new Map(),
    history: [],
    calls: new Map(),
    revision: 1,
    behavior: StoreBehavior.normal,
    delayMs: 0,
    compactedRevision: 0,
    era: 0,
    copy: () => ({
      items: [...store.items.values()],
      historyLength: store.history.length,
      revision: store.revision,
    }),
    restore({items, historyLength, revision}) {
      for (const {timer} of leases.values()) clearTimeout(timer);
      leases.clear();
      store.items.clear();
      for (const item of items) {
        if (item.lease === 0) store.items.set(item.key, item);
      }
      store.history.length = historyLength;
      store.revision = revision;
      store.era += 1;
      for (const response of [...waiting]) response.destroy();
    },
    put: (key, value) =>
      write(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    putBytes: (key, value) => write(key, value.toString('base64')),
    remove: key => void write(key, undefined),
    close: () => server.close(),
  };
  return store;
}
