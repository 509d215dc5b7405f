/**
 * A small deployment on loopback: the project's stand-ins for the platform's store and
 * for runners, and entry nodes as separate processes, started with the command of the
 * deploy file. Each node has its own path to the store and to each runner, so that
 * one node can be cut off while the others are not.
 */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';
import {startKeyspace} from '../../apps/standins/src/keyspace.ts';
import {startRunner} from '../../apps/standins/src/runner.ts';

/** Whether the disruption is played. */
export const TROUBLE = process.env.TROUBLE !== '0';

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

const startedAt = performance.now();

/** Seconds since the start of the script. */
export const elapsed = () => (performance.now() - startedAt) / 1_000;

/** Creates the writer of the record file of a case. */
export function createRecord(file) {
  writeFileSync(file, '');
  return text =>
    appendFileSync(file, `${elapsed().toFixed(3).padStart(8)} ${text}\n`);
}

function listen(server, port = 0) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', () => {
      server.off('error', reject);
      resolve(server.address().port);
    });
  });
}

/** Ports below those that the system gives to outgoing connections. */
let nextPort = 12_000 + Math.floor(Math.random() * 15_000);

async function freePort() {
  for (;;) {
    nextPort += 1;
    const server = net.createServer();
    try {
      const port = await listen(server, nextPort);
      await new Promise(resolve => server.close(resolve));
      return port;
    } catch {
      // The port is in use.
    }
  }
}

/** Processes that are running. */
const children = new Set();

process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL');
});

/** A path from one node to one port. It can be cut: new connections are refused. */
async function startLink(targetPort) {
  const pairs = new Set();
  const serve = client => {
    const upstream = net.connect(targetPort, '127.0.0.1');
    const pair = [client, upstream];
    pairs.add(pair);
    for (const [from, to] of [pair, [upstream, client]]) {
      from.setNoDelay(true);
      from.on('data', bytes => {
        if (!to.write(bytes)) {
          from.pause();
          to.once('drain', () => from.resume());
        }
      });
      from.on('end', () => to.end());
      from.on('error', () => {
        if (!to.destroyed) to.resetAndDestroy();
      });
      from.on('close', () => {
        pairs.delete(pair);
        if (!to.destroyed) to.destroy();
      });
    }
  };
  let server = net.createServer({allowHalfOpen: true}, serve);
  const port = await listen(server);
  return {
    port,
    async cut({reset = false} = {}) {
      const closed = server;
      server = undefined;
      closed?.close();
      if (reset) {
        for (const pair of pairs)
          for (const socket of pair) socket.resetAndDestroy();
      }
    },
    async heal() {
      if (server) return;
      server = net.createServer({allowHalfOpen: true}, serve);
      await listen(server, port);
    },
    close() {
      server?.close();
      for (const pair of pairs) for (const socket of pair) socket.destroy();
    },
  };
}

/** A node's path to the store, which names the node's own paths to the runners. */
async function startGateway(store, portOf) {
  const rewrite = item => {
    if (!item.key.startsWith('servers/') || item.value === undefined)
      return item;
    const text = Buffer.from(item.value, 'base64').toString('utf8');
    const port = portOf(item.key.slice('servers/'.length));
    if (port === undefined) return item;
    const entry = JSON.parse(text);
    entry.addr = `127.0.0.1:${port}`;
    const value = Buffer.from(JSON.stringify(entry)).toString('base64');
    return {...item, value};
  };
  const server = http.createServer((request, response) => {
    const forwarded = http.request(
      new URL(request.url, store.server.address),
      {method: request.method, headers: request.headers},
      answer => {
        const chunks = [];
        answer.on('data', chunk => chunks.push(chunk));
        answer.on('error', () => response.destroy());
        answer.on('end', () => {
          let text = Buffer.concat(chunks).toString('utf8');
          const body = text === '' ? {} : JSON.parse(text);
          for (const list of ['items', 'events']) {
            if (!body[list]) continue;
            body[list] = body[list].map(rewrite);
            text = JSON.stringify(body);
          }
          const headers = {'content-type': 'application/json'};
          if (answer.headers['store-era'])
            headers['store-era'] = answer.headers['store-era'];
          response.writeHead(answer.statusCode, headers);
          response.end(text);
        });
      },
    );
    forwarded.on('error', () => response.destroy());
    response.on('close', () => forwarded.destroy());
    request.pipe(forwarded);
  });
  server.on('clientError', (_error, socket) => socket.destroy());
  const port = await listen(server);
  return {
    port,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Command of the deploy file, without its settings. */
const PROGRAM = ['--max-old-space-size=160', 'target/parsleyarch.cjs', 'route'];

async function startNode(site, name, zone) {
  const links = new Map();
  for (const {id, server} of site.isDirect ? [] : site.runners)
    links.set(id, await startLink(server.port));
  const gateway = await startGateway(site.store, id => links.get(id)?.port);
  const address = async () => `127.0.0.1:${await freePort()}`;
  const settings = {
    node: name,
    failureDomain: zone,
    callers: await address(),
    readiness: await address(),
    peers: await address(),
    delegation: await address(),
    metrics: await address(),
    store: {address: `http://127.0.0.1:${gateway.port}`},
    configuration: {applyMs: 2_000},
    keys: {failClosed: true, revokeMs: 5_000},
    retries: {ratio: 0.9, windowSeconds: 10, slack: 56},
    cold: {over: 1.5, slack: 5},
    rollout: {exposeShare: 0.15, exposeSlack: 30, sessionSeconds: 5},
    stop: {graceSeconds: 8},
  };
  const file = join(site.folder, `${name}.json`);
  writeFileSync(file, JSON.stringify(settings));
  const logFile = process.env.NODE_LOGS;
  const node = {
    name,
    zone,
    settings,
    links,
    gateway,
    child: undefined,
    start() {
      const child = spawn('node', [...PROGRAM, '--settings', file], {
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      for (const output of [child.stdout, child.stderr])
        output.on('data', bytes => {
          if (logFile) appendFileSync(`${logFile}.${name}`, bytes);
        });
      children.add(child);
      child.on('exit', (code, signal) => {
        children.delete(child);
        site.record(`node ${name} exited: ${code ?? signal}`);
      });
      node.child = child;
    },
    async cutFromRunners(options) {
      site.record(`node ${name} is cut off from all runners`);
      for (const link of links.values()) await link.cut(options);
    },
    async reachRunners() {
      for (const link of links.values()) await link.heal();
      site.record(`node ${name} reaches the runners again`);
    },
    kill(signal) {
      site.record(`node ${name} gets ${signal}`);
      node.child.kill(signal);
    },
  };
  node.start();
  return node;
}

function isReady({settings}) {
  const [host, port] = settings.readiness.split(':');
  return new Promise(resolve => {
    const request = http.get(
      {host, port, path: '/api/readyz', agent: false},
      answer => {
        answer.resume();
        resolve(answer.statusCode === 200);
      },
    );
    request.on('error', () => resolve(false));
  });
}

/** Waits until all nodes are ready. */
export async function untilReady(nodes) {
  const until = performance.now() + 20_000;
  for (const node of nodes) {
    while (!(await isReady(node))) {
      if (performance.now() > until)
        throw new Error(`node ${node.name} does not become ready`);
      await wait(100);
    }
  }
}

/**
 * Starts a deployment; `runners` are the fields of their entries, by id. Nodes reach the
 * runners directly, if asked for; they cannot be cut off from them then.
 */
export async function startSite({
  record,
  nodes,
  runners,
  configuration,
  isDirect = false,
}) {
  const site = {
    record,
    isDirect,
    folder: mkdtempSync(join(tmpdir(), 'review-')),
    store: await startKeyspace(),
    runners: [],
    nodes: [],
    async close() {
      for (const {child} of site.nodes) child.kill('SIGKILL');
      for (const {links, gateway} of site.nodes) {
        for (const link of links.values()) link.close();
        gateway.close();
      }
      for (const runner of site.runners) await runner.close();
      await site.store.close();
      rmSync(site.folder, {recursive: true, force: true});
    },
  };
  for (const [id, entry] of Object.entries(runners)) {
    const runner = await startRunner(site.store, id, {born: 1, ...entry});
    site.runners.push(runner);
    runner.register();
  }
  site.store.put('op/config', configuration);
  for (const [name, zone] of Object.entries(nodes))
    site.nodes.push(await startNode(site, name, zone));
  await untilReady(site.nodes);
  // Until all nodes know each other.
  await wait(3_000);
  return site;
}

let attemptCount = 0;

/** Sends a request, on a new connection or on one of an agent; resolves to its answer. */
export function send(
  site,
  node,
  {method = 'POST', path, headers = {}, body, agent = false},
) {
  const [host, port] = node.settings.callers.split(':');
  attemptCount += 1;
  const attempt = `q${String(attemptCount).padStart(5, '0')}`;
  site.record(`client: ${attempt} ${method} ${path} sent to ${node.name}`);
  return new Promise(resolve => {
    let status = 0;
    let complete = false;
    const chunks = [];
    const request = http.request({
      host,
      port,
      method,
      path,
      agent,
      headers: {'x-parsleyarch-attempt-id': attempt, ...headers},
    });
    let isDone = false;
    const done = () => {
      if (isDone) return;
      isDone = true;
      site.record(
        `client: ${attempt} answered ${status || 'by a closed channel'}`,
      );
      const text = Buffer.concat(chunks).toString('utf8');
      resolve({attempt, status, complete, text});
    };
    request.on('response', response => {
      status = response.statusCode;
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => {});
      response.on('end', () => (complete = response.complete));
      response.on('close', done);
    });
    request.on('error', () => {
      if (status === 0) done();
    });
    request.on('close', () => {
      if (status === 0) done();
    });
    request.end(body);
  });
}

/** Runs a case and exits with its result: 1 broken, 0 held, 2 it could not run. */
export async function runCase(play) {
  const timer = setTimeout(() => process.exit(2), 117_000);
  process.on('uncaughtException', error => {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(2);
  });
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.on(signal, () => process.exit(2));
  try {
    const broken = await play();
    clearTimeout(timer);
    process.exit(broken ? 1 : 0);
  } catch (error) {
    process.stderr.write(`${error?.stack ?? error}\n`);
    process.exit(2);
  }
}
