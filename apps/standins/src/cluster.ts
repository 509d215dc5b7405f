/** Starts router nodes as processes of their own, among stand-ins. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {createWriteStream, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {send, type CallerAnswer} from './client.js';
import {
  startRater,
  startVmList,
  type RaterStandIn,
  type VmListStandIn,
} from './platform.js';
import {startStore, type StoreStandIn} from './store.js';

/** Key with which stand-in operators call. */
export const OPERATOR_KEY = 'operator-key-of-the-stand-ins';
const ROUTER = 'build/parsleyarch.cjs';

/** One router node. */
export interface ClusterNode {
  readonly name: string;
  readonly failureDomain: string;
  readonly callers: string;
  readonly operators: string;
  readonly logFile: string;
  process: ChildProcess;
  /** Ends the process at once. */
  kill(): Promise<void>;
  /** Asks the process to stop gracefully and waits for its exit code. */
  stop(): Promise<number | null>;
  freeze(): void;
  thaw(): void;
}

/** How a cluster is to be. */
export interface ClusterOptions {
  /** Failure domain of each node. */
  readonly domains: readonly string[];
  /** Address of the store as nodes see it; default: the stand-in itself. */
  readonly storeAddress?: (node: string, store: StoreStandIn) => string;
  /** Address of a peer as the VM list gives it. */
  readonly peerAddress?: (node: string, port: number) => Promise<string>;
  readonly balancerLagMs?: number;
  readonly minStepMs?: number;
  readonly logLevel?: string;
  readonly upstreamIdleMs?: number;
}

/** A running cluster. */
export interface Cluster {
  readonly options: ClusterOptions;
  readonly folder: string;
  readonly store: StoreStandIn;
  readonly vmList: VmListStandIn;
  readonly rater: RaterStandIn;
  readonly nodes: ClusterNode[];
  readonly closers: Array<() => Promise<unknown>>;
}

/** Ports below the ephemeral range, divided among processes. */
const FIRST_PORT = 10_000;
const PORT_SLOTS = 110;
const PORTS_PER_SLOT = 200;
let portsTaken = 0;

function canListen(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

/** A free port that no other process of the tests will take. */
export async function freePort(): Promise<number> {
  const first = FIRST_PORT + (process.pid % PORT_SLOTS) * PORTS_PER_SLOT;
  for (;;) {
    const port = first + (portsTaken % PORTS_PER_SLOT);
    portsTaken += 1;
    if (await canListen(port)) return port;
  }
}

/** SHA-256 of a key, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Waits until a condition holds; fails with its name after a bound. */
export async function until(
  what: string,
  holds: () => boolean | Promise<boolean>,
  boundMs = 30_000,
): Promise<void> {
  const end = Date.now() + boundMs;
  while (!(await holds())) {
    if (Date.now() > end) throw new Error(`timed out: ${what}`);
    await new Promise(resolve => setTimeout(resolve, 25));
  }
}

/** Calls the operators' listener of a node. */
export function operate(
  node: ClusterNode,
  method: string,
  path: string,
  body?: unknown,
  headers?: Record<string, string>,
): Promise<CallerAnswer> {
  return send(node.operators, {method, path, key: OPERATOR_KEY, body, headers});
}

/** Applies changes through a node; throws when they are refused. */
export async function declare(
  node: ClusterNode,
  changes: unknown[],
): Promise<number> {
  const answer = await operate(node, 'POST', '/v1/apply', {changes});
  if (answer.status !== 200) throw new Error(`apply: ${answer.text}`);
  return (answer.json as {revision: number}).revision;
}

/** Waits until a revision is in force on every node that still runs. */
export async function inForce(
  cluster: Cluster,
  revision: number,
  boundMs?: number,
): Promise<void> {
  for (const node of cluster.nodes) {
    if (node.process.exitCode !== null || node.process.signalCode) continue;
    await until(
      `revision ${revision} on ${node.name}`,
      async () => {
        const answer = await operate(node, 'GET', '/v1/status');
        const status = answer.json as {revision?: number} | undefined;
        return (status?.revision ?? -1) >= revision;
      },
      boundMs,
    );
  }
}

function exitOf(process: ChildProcess): Promise<number | null> {
  if (process.exitCode !== null || process.signalCode)
    return Promise.resolve(process.exitCode);
  return new Promise(resolve => process.once('exit', resolve));
}

/** Starts one more node and lists its VM. */
export async function addNode(
  cluster: Cluster,
  name: string,
  failureDomain: string,
): Promise<ClusterNode> {
  const {options, folder, store, vmList, rater} = cluster;
  const [callers, operators, peers] = [
    await freePort(),
    await freePort(),
    await freePort(),
  ];
  const at = (port: number) => ({host: '127.0.0.1', port});
  const settings = {
    node: name,
    failureDomain,
    callers: at(callers),
    operators: at(operators),
    peers: at(peers),
    store: {
      address: options.storeAddress?.(name, store) ?? store.server.address,
    },
    vmList: {address: vmList.server.address},
    rater: {address: rater.server.address, costMicros: 1},
    peerKey: 'peer-key-of-the-stand-ins',
    sessionKey: 'session-key-of-the-stand-ins',
    operatorKeys: [{author: 'operator', keyHash: hashKey(OPERATOR_KEY)}],
    stop: {balancerLagMs: options.balancerLagMs ?? 300, graceMs: 20_000},
    rollout: {minStepMs: options.minStepMs ?? 1_000},
    logLevel: options.logLevel ?? 'info',
    upstreamIdleMs: options.upstreamIdleMs ?? 10_000,
  };
  const file = join(folder, `${name}.jsonc`);
  writeFileSync(file, JSON.stringify(settings, null, 2));
  const listed =
    (await options.peerAddress?.(name, peers)) ?? `127.0.0.1:${peers}`;
  vmList.vms.set(name, {
    node: name,
    address: listed,
    failureDomain,
    state: 'live',
  });
  const logFile = join(folder, `${name}.log`);
  const child = spawn(process.execPath, [ROUTER, 'serve', '-s', file], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log = createWriteStream(logFile, {flags: 'a'});
  child.stdout?.pipe(log, {end: false});
  child.stderr?.pipe(log, {end: false});
  const node: ClusterNode = {
    name,
    failureDomain,
    callers: `http://127.0.0.1:${callers}`,
    operators: `http://127.0.0.1:${operators}`,
    logFile,
    process: child,
    async kill() {
      child.kill('SIGKILL');
      await exitOf(child);
    },
    stop() {
      child.kill('SIGTERM');
      return exitOf(child);
    },
    freeze: () => void child.kill('SIGSTOP'),
    thaw: () => void child.kill('SIGCONT'),
  };
  cluster.nodes.push(node);
  return node;
}

/** Waits until a node takes new work. */
export function ready(node: ClusterNode): Promise<void> {
  return until(`${node.name} is ready`, async () => {
    const answer = await send(node.callers, {
      method: 'GET',
      path: '/readyz',
      key: '',
    });
    return answer.status === 200;
  });
}

/** Waits until a node has heard of every listed one. */
export function acquainted(node: ClusterNode): Promise<void> {
  return until(`${node.name} knows all nodes`, async () => {
    const answer = await operate(node, 'GET', '/v1/status');
    const {listed, nodes} = answer.json as {listed: number; nodes: unknown[]};
    return nodes.length === listed;
  });
}

/** Starts stand-ins of the platform and the nodes; resolves when all are ready. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster: Cluster = {
    options,
    folder: mkdtempSync(join(tmpdir(), 'parsleyarch-')),
    store: await startStore(),
    vmList: await startVmList(),
    rater: await startRater(),
    nodes: [],
    closers: [],
  };
  for (const [index, domain] of options.domains.entries())
    await addNode(cluster, `vm-${index + 1}`, domain);
  for (const node of cluster.nodes) await ready(node);
  for (const node of cluster.nodes) await acquainted(node);
  return cluster;
}

/** Ends all processes and stand-ins of a cluster. */
export async function closeCluster(cluster: Cluster): Promise<void> {
  for (const node of cluster.nodes) {
    node.thaw();
    await node.kill();
  }
  for (const close of cluster.closers) await close();
  await cluster.store.server.close();
  await cluster.vmList.server.close();
  await cluster.rater.server.close();
  rmSync(cluster.folder, {recursive: true, force: true});
}
