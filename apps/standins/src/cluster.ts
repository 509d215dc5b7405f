/** Starts router nodes as separate processes, with stand-ins for the platform. */
import {spawn, type ChildProcess} from 'node:child_process';
import {createHash} from 'node:crypto';
import {createWriteStream, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {sendRequest, type CallerAnswer} from './client.js';
import {
  startRater,
  startVmList,
  type RaterStandIn,
  type VmListStandIn,
} from './platform.js';
import {startStore, type StoreStandIn} from './store.js';

/** Key for the operators' listener of every node. */
export const OPERATOR_KEY = 'operator-key-of-the-stand-ins';
/** The bundle of the router, built before the tests. */
export const ROUTER_BUNDLE = 'build/parsleyarch.cjs';

export interface ClusterNode {
  readonly name: string;
  readonly failureDomain: string;
  /** Base URLs of the listeners for callers and for operators. */
  readonly callers: string;
  readonly operators: string;
  readonly logFile: string;
  process: ChildProcess;
  /** Kills the process and waits for its exit. */
  kill(): Promise<void>;
  /** Stops the process gracefully and returns its exit code. */
  stop(): Promise<number | null>;
  freeze(): void;
  thaw(): void;
}

export interface ClusterOptions {
  /** Failure domain of each node. */
  readonly domains: readonly string[];
  /** Address of the store for a node; default: the stand-in itself. */
  readonly storeAddress?: (node: string, store: StoreStandIn) => string;
  /** Address of a node in the VM list; default: its peer listener. */
  readonly peerAddress?: (node: string, port: number) => Promise<string>;
  /** Setting of every node; by default shorter than a real node's. */
  readonly balancerLagMs?: number;
  /** Setting of every node; by default shorter than a real node's. */
  readonly minStepMs?: number;
  /** Settings of every node. */
  readonly logLevel?: string;
  readonly upstreamIdleMs?: number;
}

export interface Cluster {
  readonly options: ClusterOptions;
  /** Temporary folder of the settings and logs of the nodes. */
  readonly folder: string;
  readonly store: StoreStandIn;
  readonly vmList: VmListStandIn;
  readonly rater: RaterStandIn;
  readonly nodes: ClusterNode[];
  readonly cleanups: Array<() => Promise<unknown>>;
}

/** Ports below the ephemeral range, in blocks of which a process claims one. */
const FIRST_PORT = 10_000;
const PORT_BLOCK_COUNT = 110;
const PORTS_PER_BLOCK = 200;
let allocatedPortCount = 0;
let claimedBlock: Promise<number> | undefined;

/** Listens on a port; `undefined` if it is in use. */
function tryListen(port: number): Promise<net.Server | undefined> {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(undefined));
    server.listen(port, '127.0.0.1', () => resolve(server));
  });
}

/**
 * Claims a block of ports for this process, as processes whose tests run at the
 * same time would else choose the same ports: its first port stays in use until
 * the process ends. Returns the second one.
 */
async function claimBlock(): Promise<number> {
  for (let tried = 0; tried < PORT_BLOCK_COUNT; tried += 1) {
    const block = (process.pid + tried) % PORT_BLOCK_COUNT;
    const first = FIRST_PORT + block * PORTS_PER_BLOCK;
    const claim = await tryListen(first);
    if (!claim) continue;
    claim.unref();
    return first + 1;
  }
  throw new Error('all blocks of ports are in use');
}

/** Finds a free port in the blocks of this process; never the same one again. */
export async function freePort(): Promise<number> {
  for (;;) {
    const offset = allocatedPortCount % (PORTS_PER_BLOCK - 1);
    if (offset === 0) claimedBlock = claimBlock();
    allocatedPortCount += 1;
    const port = (await claimedBlock!) + offset;
    const server = await tryListen(port);
    if (!server) continue;
    await new Promise(resolve => server.close(resolve));
    return port;
  }
}

/** SHA-256 of a key, in hexadecimal. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Polls a condition; throws with the description on a timeout. */
export async function until(
  description: string,
  condition: () => boolean | Promise<boolean>,
  timeoutMs = 30_000,
): Promise<void> {
  const end = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > end)
      throw new Error(`timed out waiting for: ${description}`);
    await new Promise(resolve => setTimeout(resolve, 25));
  }
}

/** Sends a request to the operators' listener of a node. */
export function sendOperatorRequest(
  node: ClusterNode,
  method: string,
  path: string,
  body?: unknown,
  headers?: Record<string, string>,
): Promise<CallerAnswer> {
  return sendRequest(node.operators, {
    method,
    path,
    key: OPERATOR_KEY,
    body,
    headers,
  });
}

/** Applies changes through a node and returns the revision; throws when rejected. */
export async function applyChanges(
  node: ClusterNode,
  changes: unknown[],
): Promise<number> {
  const answer = await sendOperatorRequest(node, 'POST', '/v1/apply', {
    changes,
  });
  if (answer.status !== 200)
    throw new Error(`changes were rejected: ${answer.text}`);
  return (answer.json as {revision: number}).revision;
}

/** Waits until a revision is in force on every running node. */
export async function waitForRevision(
  cluster: Cluster,
  revision: number,
  timeoutMs?: number,
): Promise<void> {
  for (const node of cluster.nodes) {
    if (node.process.exitCode !== null || node.process.signalCode) continue;
    await until(
      `revision ${revision} on ${node.name}`,
      async () => {
        const answer = await sendOperatorRequest(node, 'GET', '/v1/status');
        const status = answer.json as {revision?: number} | undefined;
        return (status?.revision ?? -1) >= revision;
      },
      timeoutMs,
    );
  }
}

function waitForExit(process: ChildProcess): Promise<number | null> {
  if (process.exitCode !== null || process.signalCode)
    return Promise.resolve(process.exitCode);
  return new Promise(resolve => process.once('exit', resolve));
}

/** Starts a node and adds its VM to the VM list. */
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
  const listenAddress = (port: number) => ({host: '127.0.0.1', port});
  const settings = {
    node: name,
    failureDomain,
    callers: listenAddress(callers),
    operators: listenAddress(operators),
    peers: listenAddress(peers),
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
  const peerAddress =
    (await options.peerAddress?.(name, peers)) ?? `127.0.0.1:${peers}`;
  vmList.vms.set(name, {
    node: name,
    address: peerAddress,
    failureDomain,
    state: 'live',
  });
  const logFile = join(folder, `${name}.log`);
  const child = spawn(process.execPath, [ROUTER_BUNDLE, 'serve', '-s', file], {
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
      await waitForExit(child);
    },
    stop() {
      child.kill('SIGTERM');
      return waitForExit(child);
    },
    freeze: () => void child.kill('SIGSTOP'),
    thaw: () => void child.kill('SIGCONT'),
  };
  cluster.nodes.push(node);
  return node;
}

/** Waits until a node accepts requests. */
export function waitUntilReady(node: ClusterNode): Promise<void> {
  return until(`${node.name} is ready`, async () => {
    const answer = await sendRequest(node.callers, {
      method: 'GET',
      path: '/readyz',
      key: '',
    });
    return answer.status === 200;
  });
}

/** Waits until a node knows every node of the VM list. */
export function waitForPeers(node: ClusterNode): Promise<void> {
  return until(`${node.name} knows all nodes`, async () => {
    const answer = await sendOperatorRequest(node, 'GET', '/v1/status');
    const {listed, nodes} = answer.json as {listed: number; nodes: unknown[]};
    return nodes.length === listed;
  });
}

/** Starts the stand-ins and nodes; resolves when all nodes are ready. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const cluster: Cluster = {
    options,
    folder: mkdtempSync(join(tmpdir(), 'parsleyarch-')),
    store: await startStore(),
    vmList: await startVmList(),
    rater: await startRater(),
    nodes: [],
    cleanups: [],
  };
  for (const [index, domain] of options.domains.entries())
    await addNode(cluster, `vm-${index + 1}`, domain);
  for (const node of cluster.nodes) await waitUntilReady(node);
  for (const node of cluster.nodes) await waitForPeers(node);
  return cluster;
}

/** Kills all nodes, closes the stand-ins and deletes the folder. */
export async function closeCluster(cluster: Cluster): Promise<void> {
  for (const node of cluster.nodes) {
    node.thaw();
    await node.kill();
  }
  for (const close of cluster.cleanups) await close();
  await cluster.store.server.close();
  await cluster.vmList.server.close();
  await cluster.rater.server.close();
  rmSync(cluster.folder, {recursive: true, force: true});
}
