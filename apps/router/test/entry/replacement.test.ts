/**
 * Replaces processes one after the other beside requests and changes of the
 * configuration. `OLD_BUNDLE` names the bundle of an earlier build that runs first
 * (tools/old-build.mjs); without it the same build runs before and after.
 */
import {ROUTER_BUNDLE} from '@parsleyarch/standins/cluster';
import type {EntrySettings} from '@parsleyarch/router/entry/settings';
import test, {type ExecutionContext} from 'ava';
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, openSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import '../exit.js';
import {
  closeSite,
  configure,
  route,
  send,
  settingsFor,
  startSite,
  type Site,
} from './site.js';

const OLD_BUNDLE = process.env.OLD_BUNDLE ?? ROUTER_BUNDLE;
const DOMAIN_COUNT = 2;
const NODE_COUNT = 4;
/** Time between two replacements, milliseconds. */
const REPLACEMENT_PAUSE_MS = 1_000;
const CHANGE_MS = 400;
/** Changes whose routes later configurations still have. */
const KEPT_CHANGE_COUNT = 20;
const REQUEST_MS = 20;
const PROBE_MS = 100;
/** Time with a path to the store after which changes must be in force in time. */
const CONTACT_MS = 3_000;
const APPLY_MS = 2_000;
const START_MS = 10_000;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** A node that runs as a process of its own. */
interface NodeProcess {
  readonly settings: EntrySettings;
  child: ChildProcess;
  startedAt: number;
  ready: boolean;
  stopping: boolean;
}

function startProcess(
  folder: string,
  bundle: string,
  settings: EntrySettings,
): ChildProcess {
  const file = join(folder, `${settings.node}.jsonc`);
  writeFileSync(file, JSON.stringify({...settings, logLevel: 'info'}));
  const log = openSync(join(folder, `${settings.node}.log`), 'a');
  const args = [bundle, 'route', '--settings', file];
  return spawn(process.execPath, args, {stdio: ['ignore', log, log]});
}

const exited = (child: ChildProcess) =>
  new Promise<void>(resolve => {
    if (child.exitCode !== null || child.signalCode) return resolve();
    child.once('exit', () => resolve());
  });

async function probe(node: NodeProcess): Promise<void> {
  const [host, port] = node.settings.readiness.split(':');
  const ready = await fetch(`http://${host}:${port}/api/readyz`).then(
    ({status}) => status === 200,
    () => false,
  );
  node.ready = ready && !node.stopping;
}

async function untilReady(node: NodeProcess): Promise<void> {
  const end = performance.now() + START_MS;
  while (!node.ready) {
    if (performance.now() > end)
      throw new Error(`${node.settings.node} is not ready`);
    await wait(PROBE_MS);
  }
}

/** What went wrong beside the replacements. */
interface Observed {
  readonly failed: string[];
  requests: number;
}

/** Sends requests to ready nodes and writes changes until it is ended. */
function startTraffic(
  site: Site,
  nodes: readonly NodeProcess[],
): {observed: Observed; end(): Promise<void>} {
  const observed: Observed = {failed: [], requests: 0};
  const acknowledgedAt: number[] = [];
  const pending = new Set<Promise<void>>();
  const change = () => {
    const latest = acknowledgedAt.length;
    const oldest = Math.max(0, latest - KEPT_CHANGE_COUNT);
    const routes = [route()];
    for (let number = oldest; number <= latest; number += 1)
      routes.push(route({name: `c${number}`, path_prefix: `/c/${number}/`}));
    configure(site, routes);
    acknowledgedAt.push(performance.now());
  };
  const request = async (node: NodeProcess, path: string) => {
    const {status} = await send(node.settings.callers, {path});
    observed.requests += 1;
    if (status !== 200)
      observed.failed.push(`${node.settings.node} ${path}: ${status}`);
  };
  /** Requests the newest route that must be in force. */
  const checkChange = async (node: NodeProcess) => {
    const sentAt = performance.now();
    if (sentAt - node.startedAt < CONTACT_MS) return;
    const due = acknowledgedAt.filter(at => sentAt - at > APPLY_MS).length - 1;
    if (due >= 0) await request(node, `/c/${due}/x`);
  };
  const track = (promise: Promise<void>) => {
    pending.add(promise);
    void promise.finally(() => pending.delete(promise));
  };
  const onReady = (run: (node: NodeProcess) => Promise<void>) => {
    for (const node of nodes) if (node.ready) track(run(node));
  };
  let turn = 0;
  const timers = [
    setInterval(change, CHANGE_MS),
    setInterval(() => {
      const ready = nodes.filter(node => node.ready);
      turn += 1;
      if (ready.length > 0) track(request(ready[turn % ready.length], '/a/x'));
    }, REQUEST_MS),
    setInterval(() => onReady(checkChange), CHANGE_MS / 2),
    setInterval(() => {
      for (const node of nodes) track(probe(node));
    }, PROBE_MS),
  ];
  return {
    observed,
    async end() {
      for (const timer of timers) clearInterval(timer);
      await Promise.all(pending);
    },
  };
}

async function startNodes(
  t: ExecutionContext,
  site: Site,
  folder: string,
): Promise<NodeProcess[]> {
  const nodes: NodeProcess[] = [];
  t.teardown(async () => {
    for (const {child} of nodes) {
      child.kill('SIGKILL');
      await exited(child);
    }
  });
  for (let index = 0; index < NODE_COUNT; index += 1) {
    const settings = await settingsFor(site.store, `node-${index + 1}`, {
      failureDomain: `domain-${index % DOMAIN_COUNT}`,
    });
    const child = startProcess(folder, OLD_BUNDLE, settings);
    const startedAt = performance.now();
    nodes.push({settings, child, startedAt, ready: false, stopping: false});
  }
  return nodes;
}

test('processes that are replaced one after the other serve all requests by the newest configuration', async t => {
  const site = await startSite(3);
  const folder = mkdtempSync(join(tmpdir(), 'replacement-'));
  t.teardown(async () => {
    await closeSite(site);
    if (t.passed) rmSync(folder, {recursive: true, force: true});
  });
  configure(site, [route()]);
  const nodes = await startNodes(t, site, folder);
  const traffic = startTraffic(site, nodes);
  for (const node of nodes) await untilReady(node);
  await wait(CONTACT_MS);
  for (const node of nodes) {
    node.stopping = true;
    node.ready = false;
    node.child.kill('SIGTERM');
    await exited(node.child);
    t.is(node.child.exitCode, 0);
    node.child = startProcess(folder, ROUTER_BUNDLE, node.settings);
    node.startedAt = performance.now();
    node.stopping = false;
    await untilReady(node);
    await wait(REPLACEMENT_PAUSE_MS);
  }
  await wait(CONTACT_MS);
  await traffic.end();
  const {observed} = traffic;
  t.log(`${observed.requests} requests; logs in ${folder} if it fails`);
  t.true(observed.requests > 0);
  t.deepEqual(observed.failed, []);
});
