/** Stand-in of the platform's store: revisions, watches, leases, by script. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {startServer, type StandInServer} from './http.js';

interface Item {
  readonly key: string;
  readonly value?: string;
  readonly rev: number;
  readonly lease: number;
}

/** What the store does with its calls. */
export const StoreMood = {
  well: 'well',
  /** Answers 503 and does nothing. */
  busy: 'busy',
  /** Never answers, and does nothing. */
  silent: 'silent',
  /** Does what it is asked and cuts the connection. */
  losing: 'losing',
} as const;
export type StoreMood = (typeof StoreMood)[keyof typeof StoreMood];

/** The running stand-in. */
export interface KeyspaceStandIn {
  readonly server: StandInServer;
  readonly items: Map<string, Item>;
  readonly history: Item[];
  /** Calls by path. */
  readonly calls: Map<string, number>;
  revision: number;
  mood: StoreMood;
  /** Watches from before this revision get 410. */
  compacted: number;
  put(key: string, value: unknown): number;
  remove(key: string): void;
  close(): Promise<void>;
}

interface Lease {
  ttlMs: number;
  timer: NodeJS.Timeout;
}

const PAGE = 20;
const wire = ({key, value, rev, lease}: Item) =>
  value === undefined
    ? {key, rev, deleted: true}
    : {key, value, rev, create_revision: rev, lease};

interface Body {
  readonly expect_rev?: readonly {key: string; rev: number}[];
  readonly writes?: readonly {key: string; value: string; lease?: number}[];
  readonly remove?: readonly string[];
  readonly ttl_ms?: number;
}

async function readJson(request: IncomingMessage): Promise<Body> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : JSON.parse(text);
}

/** Starts a stand-in on loopback. */
export async function startKeyspace(): Promise<KeyspaceStandIn> {
  const leases = new Map<number, Lease>();
  const waiting = new Set<() => void>();
  let nextLease = 100;

  const write = (key: string, value: string | undefined, lease = 0) => {
    store.revision += 1;
    const item = {key, value, rev: store.revision, lease};
    if (value === undefined) store.items.delete(key);
    else store.items.set(key, item);
    store.history.push(item);
    for (const wake of [...waiting]) wake();
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
    if (store.mood === StoreMood.losing) return void response.destroy();
    response.writeHead(status, {'content-type': 'application/json'});
    response.end(body === undefined ? '' : JSON.stringify(body));
  };

  const range = (url: URL, response: ServerResponse): void => {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...store.items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: found.slice(0, PAGE).map(wire),
      has_more: found.length > PAGE,
      as_of: store.revision,
    });
  };
  const watch = (url: URL, response: ServerResponse): void => {
    const prefix = url.searchParams.get('path_prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    if (after < store.compacted) return send(response, 410, {});
    const answer = () => {
      const events = store.history.filter(
        ({key, rev}) => rev > after && key.startsWith(prefix),
      );
      return events.length === 0
        ? undefined
        : {events: events.map(wire), as_of: store.revision};
    };
    const finish = (body: unknown) => {
      clearTimeout(timer);
      waiting.delete(wake);
      send(response, 200, body);
    };
    const wake = () => {
      const events = answer();
      if (events) finish(events);
    };
    const timer = setTimeout(
      () => finish({events: [], as_of: store.revision}),
      waitMs,
    );
    response.on('close', () => {
      clearTimeout(timer);
      waiting.delete(wake);
    });
    waiting.add(wake);
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
  const keep = (url: URL, response: ServerResponse): void => {
    const lease = Number(url.pathname.split('/').at(-1));
    const known = leases.get(lease);
    if (!known) return send(response, 404, {});
    renew(lease, known.ttlMs);
    send(response, 200, {ttl_ms: known.ttlMs});
  };
  const end = (url: URL, response: ServerResponse): void => {
    expire(Number(url.pathname.split('/').at(-1)));
    send(response, 200, {});
  };

  const server = await startServer(0, (request, response, url) => {
    const name = url.pathname.split('/')[2];
    store.calls.set(name, (store.calls.get(name) ?? 0) + 1);
    if (store.mood === StoreMood.silent) return;
    if (store.mood === StoreMood.busy)
      return void response.writeHead(503).end();
    const handlers: Record<string, () => void | Promise<void>> = {
      'kv-range': () => range(url, response),
      'kv-watch': () => watch(url, response),
      'kv-txn': () => transact(request, response),
      'kv-lease': () => grant(request, response),
      'kv-keep': () => keep(url, response),
      'kv-lease-end': () => end(url, response),
    };
    return handlers[name]?.();
  });
  const store: KeyspaceStandIn = {
    server,
    items: new Map(),
    history: [],
    calls: new Map(),
    revision: 1,
    mood: StoreMood.well,
    compacted: 0,
    put: (key, value) =>
      write(key, Buffer.from(JSON.stringify(value)).toString('base64')),
    remove: key => void write(key, undefined),
    close: () => server.close(),
  };
  return store;
}
