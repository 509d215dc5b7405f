/**
 * Stand-in for the platform's key-value service, which nodes (`serve`) use as
 * their store; `keyspace.ts` is the store of entry nodes (`route`).
 */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {readJson, sendJson, startServer, type StandInServer} from './http.js';

interface Item {
  readonly key: string;
  readonly value: unknown;
  readonly version: number;
}

/** Injected faults; initially none. */
export interface StoreFaults {
  /** Connections are closed without a response and calls have no effect. */
  down: boolean;
  /** Writes to matching keys take effect, but get no response. */
  loseWriteResponse: (key: string) => boolean;
  /** Delay before each call is processed, in milliseconds. */
  delayMs: number;
}

export interface StoreStandIn {
  readonly server: StandInServer;
  readonly faults: StoreFaults;
  readonly items: Map<string, Item>;
  /** Calls received outside outages; `refused` ones are in the other counts too. */
  readonly calls: {read: number; write: number; refused: number};
}

/** Rate limits; calls above them get 429 and have no effect. */
const READS_PER_SECOND = 2_000;
const WRITES_PER_SECOND = 300;

interface Limiter {
  second: number;
  used: number;
}

function admit(limiter: Limiter, limit: number): boolean {
  const second = Math.floor(Date.now() / 1_000);
  if (limiter.second !== second) {
    limiter.second = second;
    limiter.used = 0;
  }
  limiter.used += 1;
  return limiter.used <= limit;
}

function listItems(
  store: StoreStandIn,
  prefix: string,
  after: string,
  limit: number,
): Item[] {
  const found: Item[] = [];
  for (const key of [...store.items.keys()].sort()) {
    if (!key.startsWith(prefix) || key <= after) continue;
    const item = store.items.get(key);
    if (item) found.push(item);
    if (found.length >= limit) break;
  }
  return found;
}

export async function startStore(port = 0): Promise<StoreStandIn> {
  const watchers = new Set<() => void>();
  const reads: Limiter = {second: 0, used: 0};
  const writes: Limiter = {second: 0, used: 0};
  const faults: StoreFaults = {
    down: false,
    loseWriteResponse: () => false,
    delayMs: 0,
  };

  async function watch(url: URL, response: ServerResponse) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const deadline = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
    for (;;) {
      const items = listItems(store, prefix, after, 500);
      const remainingMs = deadline - Date.now();
      if (items.length > 0 || remainingMs <= 0)
        return sendJson(response, 200, {items});
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, remainingMs);
        watchers.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
      if (faults.down) return void response.destroy();
    }
  }

  async function write(
    key: string,
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    const {value} = await readJson(request);
    const version = store.items.get(key)?.version ?? 0;
    const onlyNew = request.headers['if-none-match'] === '*';
    const expected = request.headers['if-match'];
    if (onlyNew && version > 0) return sendJson(response, 412, {version});
    if (expected !== undefined && Number(expected) !== version)
      return sendJson(response, 412, {version});
    const loseResponse = faults.loseWriteResponse(key);
    store.items.set(key, {key, value, version: version + 1});
    for (const wake of watchers) wake();
    watchers.clear();
    if (loseResponse) return void response.destroy();
    sendJson(response, 200, {version: version + 1});
  }

  const server = await startServer(port, async (request, response, url) => {
    if (faults.delayMs > 0)
      await new Promise(resolve => setTimeout(resolve, faults.delayMs));
    if (faults.down) return void response.destroy();
    const isWrite = request.method === 'PUT';
    store.calls[isWrite ? 'write' : 'read'] += 1;
    const admitted = isWrite
      ? admit(writes, WRITES_PER_SECOND)
      : admit(reads, READS_PER_SECOND);
    if (!admitted) {
      store.calls.refused += 1;
      return sendJson(response, 429, {});
    }
    if (url.pathname === '/watch') return watch(url, response);
    if (url.pathname === '/kv') {
      const {searchParams: query} = url;
      const limit = Number(query.get('limit') ?? 500);
      const [prefix, after] = [query.get('prefix'), query.get('after')];
      const items = listItems(store, prefix ?? '', after ?? '', limit);
      return sendJson(response, 200, {items});
    }
    const key = decodeURIComponent(url.pathname.slice('/kv/'.length));
    if (isWrite) return write(key, request, response);
    const item = store.items.get(key);
    sendJson(response, item ? 200 : 404, item ?? {});
  });
  const store: StoreStandIn = {
    server,
    faults,
    items: new Map(),
    calls: {read: 0, write: 0, refused: 0},
  };
  return store;
}

/** Starts an outage: open connections are reset, new calls get no response. */
export function startOutage(store: StoreStandIn): void {
  store.faults.down = true;
  store.server.resetConnections();
}

/** Ends an outage; the stored items are unchanged. */
export function endOutage(store: StoreStandIn): void {
  store.faults.down = false;
}
