/** A store, upstreams and entry nodes on loopback, for tests of the entry path. */
import {
  startKeyspace,
  type KeyspaceStandIn,
} from '@parsleyarch/standins/keyspace';
import {startRunner, type RunnerStandIn} from '@parsleyarch/standins/runner';
import {freePort} from '@parsleyarch/standins/cluster';
import * as http from 'node:http';
import {createEntry, type Entry} from '@parsleyarch/router/entry/serve';
import type {EntrySettings} from '@parsleyarch/router/entry/settings';

/** Everything that a test starts. */
export interface Site {
  readonly store: KeyspaceStandIn;
  readonly runners: RunnerStandIn[];
  readonly entries: Entry[];
}

/** Settings of a node against a store. */
export async function settingsFor(
  store: KeyspaceStandIn,
  node: string,
  changes: Partial<EntrySettings> = {},
): Promise<EntrySettings> {
  const address = async () => `127.0.0.1:${await freePort()}`;
  return {
    node,
    failureDomain: 'gulberg',
    callers: await address(),
    readiness: await address(),
    peers: await address(),
    delegation: await address(),
    metrics: await address(),
    store: {address: store.server.address, timeoutMs: 500},
    configuration: {applyMs: 2_000},
    keys: {failClosed: true, revokeMs: 5_000},
    retries: {ratio: 0.9, windowSeconds: 10, slack: 56},
    cold: {over: 1.5, slack: 5},
    rollout: {exposeShare: 0.15, exposeSlack: 30, sessionSeconds: 5},
    stop: {graceSeconds: 5},
    balancing: {oldLoad: 'level'},
    machine: {},
    clients: {
      pipelined: 8,
      refusedBodyMs: 2_000,
      streamBufferKb: 256,
      heldBackMs: 2_000,
      unreadMs: 10_000,
    },
    logLevel: 'silent',
    ...changes,
  };
}

/** A route with the fields that most tests need. */
export function route(fields: Record<string, unknown> = {}) {
  return {
    name: 'r',
    host: 'api.example',
    path_prefix: '/a/',
    kind: 'idempotent',
    timeout_ms: 2_000,
    goal_ms: 1_000,
    priority: 1,
    service: 'api',
    max_attempts: 2,
    ...fields,
  };
}

let version = 0;

/** Puts a configuration into force. */
export function configure(
  {store}: Site,
  routes: unknown[],
  changes: Record<string, unknown> = {},
): void {
  version += 1;
  store.put('op/config', {
    version,
    routes,
    services: [{name: 'api', health_path: '/healthz'}],
    limits: {
      max_header_bytes: 4_096,
      max_body_bytes: 100_000,
      header_timeout_ms: 1_000,
      idle_timeout_ms: 2_000,
    },
    ...changes,
  });
}

/** Starts a store and registered upstreams. */
export async function startSite(
  runners = 2,
  entry: Record<string, unknown> = {},
): Promise<Site> {
  const store = await startKeyspace();
  const site: Site = {store, runners: [], entries: []};
  for (let i = 0; i < runners; i += 1) {
    const runner = await startRunner(store, `i-${i}`, entry);
    runner.register();
    site.runners.push(runner);
  }
  return site;
}

/** Starts a node on the site. */
export async function startNode(
  site: Site,
  changes: Partial<EntrySettings> = {},
): Promise<Entry> {
  const name = `node-${site.entries.length + 1}`;
  const entry = createEntry(await settingsFor(site.store, name, changes));
  site.entries.push(entry);
  await entry.start();
  return entry;
}

/** Stops everything. */
export async function closeSite(site: Site): Promise<void> {
  for (const entry of site.entries) {
    entry.node.settings.stop.graceSeconds = 0;
    void entry.stop();
  }
  for (const runner of site.runners) await runner.close();
  await site.store.close();
}

/** An answer as a caller sees it. */
export interface Answer {
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly complete: boolean;
  readonly tookMs: number;
}

let attempts = 0;

/** A new attempt id. */
export function attemptId(): string {
  attempts += 1;
  return `attempt-${attempts}`;
}

/** A caller's request; fields have defaults. */
export interface Call {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: http.OutgoingHttpHeaders;
  readonly body?: string;
  readonly onSent?: (request: http.ClientRequest) => void;
  readonly onBytes?: (text: string, request: http.ClientRequest) => void;
}

/** Sends a request to a node; a broken connection is an answer with status 0. */
export function call(entry: Entry, request: Call = {}): Promise<Answer> {
  return send(entry.node.settings.callers, request);
}

/** The same to an address. */
export function send(address: string, request: Call): Promise<Answer> {
  const [host, port] = address.split(':');
  const startedAt = performance.now();
  return new Promise(resolve => {
    let status = 0;
    let headers: http.IncomingHttpHeaders = {};
    let body = '';
    let complete = false;
    const done = () =>
      resolve({
        status,
        headers,
        body,
        complete,
        tookMs: performance.now() - startedAt,
      });
    const sent = http.request({
      host,
      port,
      method: request.method ?? 'GET',
      path: request.path ?? '/a/x',
      agent: false,
      headers: {
        host: 'api.example',
        'x-parsleyarch-attempt-id': attemptId(),
        'x-parsleyarch-deadline-ms': '2000',
        ...request.headers,
      },
    });
    sent.on('response', response => {
      status = response.statusCode ?? 0;
      headers = response.headers;
      response.on('data', chunk => {
        body += String(chunk);
        request.onBytes?.(body, sent);
      });
      response.on('error', () => {});
      response.on('close', () => {
        complete = response.complete;
        done();
      });
    });
    sent.on('error', done);
    request.onSent?.(sent);
    sent.end(request.body);
  });
}

/** Time-out of `until`, milliseconds. */
const STATE_TIMEOUT_MS = 10_000;

/** Waits until a condition is met. */
export async function until(isMet: () => boolean): Promise<void> {
  const end = performance.now() + STATE_TIMEOUT_MS;
  while (!isMet()) {
    if (performance.now() > end)
      throw new Error('the condition was not met in time');
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}
