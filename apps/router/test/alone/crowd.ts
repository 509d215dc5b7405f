/** Clients outside the limits, and a node that runs as a process of its own. */
import {ROUTER_BUNDLE} from '@parsleyarch/standins/cluster';
import type {EntrySettings} from '@parsleyarch/router/entry/settings';
import type {ExecutionContext} from 'ava';
import {spawn, type ChildProcess} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  openSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import * as net from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {
  attemptId,
  closeSite,
  send,
  settingsFor,
  startSite,
  type Answer,
  type Site,
} from '../entry/site.js';

/** Old-space limit of deploy/system.toml, megabytes. */
const OLD_SPACE_MB = 160;
/** Interval at which open descriptors are counted, milliseconds. */
const COUNT_MS = 25;
/** Time after which a crowd that is still sending counts as complete. */
const SETTLE_MS = 8_000;
/** Time in which the node reads what the kernel still holds, milliseconds. */
const READ_MS = 2_000;
/** Sends of the ordinary request, each over a new connection. */
const ORDINARY_ATTEMPTS = 5;
const RETRY_MS = 500;
export const KB = 1 << 10;
export const MB = 1 << 20;

export const wait = (ms: number) =>
  new Promise(resolve => setTimeout(resolve, ms));

/** A node in a process of its own, and what it took at its peak. */
export interface NodeProcess {
  readonly settings: EntrySettings;
  child: ChildProcess;
  /** Largest number of open descriptors that was seen. */
  maxDescriptors: number;
  /** Starts it again once it has ended. */
  readonly restart: () => void;
}

function isAlive({child}: NodeProcess): boolean {
  return child.exitCode === null && child.signalCode === null;
}

function countDescriptors(node: NodeProcess): void {
  if (!isAlive(node)) return;
  const folder = `/proc/${node.child.pid}/fd`;
  // A process that ends has no such folder before its exit is known here.
  const length = existsSync(folder) ? readdirSync(folder).length : 0;
  node.maxDescriptors = Math.max(node.maxDescriptors, length);
}

/** Starts a node of a site in a process of its own; the test's end stops it. */
export async function startNodeProcess(
  t: ExecutionContext,
  site: Site,
  name: string,
  machine: EntrySettings['machine'],
): Promise<NodeProcess> {
  const settings = await settingsFor(site.store, name, {machine});
  const folder = mkdtempSync(join(tmpdir(), 'outside-limits-'));
  const file = join(folder, 'settings.jsonc');
  writeFileSync(file, JSON.stringify({...settings, logLevel: 'info'}));
  const log = openSync(join(folder, 'log'), 'a');
  const start = () =>
    spawn(
      process.execPath,
      [
        `--max-old-space-size=${OLD_SPACE_MB}`,
        ROUTER_BUNDLE,
        'route',
        '--settings',
        file,
      ],
      {stdio: ['ignore', log, log]},
    );
  const node: NodeProcess = {
    settings,
    child: start(),
    maxDescriptors: 0,
    restart: () => void (node.child = start()),
  };
  const timer = setInterval(() => countDescriptors(node), COUNT_MS);
  t.teardown(() => {
    clearInterval(timer);
    node.child.kill('SIGKILL');
    if (t.passed) rmSync(folder, {recursive: true, force: true});
    else t.log(`log of the node: ${folder}`);
  });
  return node;
}

/** Starts a site of one node in a process of its own; the test's end stops them. */
export async function startProcess(
  t: ExecutionContext,
  machine: EntrySettings['machine'],
): Promise<{site: Site; node: NodeProcess}> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  return {site, node: await startNodeProcess(t, site, 'node-1', machine)};
}

/** Sends an ordinary request as callers do that retry what was refused. */
export async function sendOrdinary(
  address: string,
  body?: string,
): Promise<Answer> {
  for (let attempt = 1; ; attempt += 1) {
    const answer = await send(address, {method: 'POST', body});
    if (answer.status === 200 || attempt === ORDINARY_ATTEMPTS) return answer;
    await wait(RETRY_MS);
  }
}

/** Checks that the process lives within its machine. */
export function checkProcess(t: ExecutionContext, node: NodeProcess): void {
  const {memoryMb = 0, maxDescriptors = 0} = node.settings.machine;
  t.true(isAlive(node));
  countDescriptors(node);
  const status = readFileSync(`/proc/${node.child.pid}/status`, 'utf8');
  const peakMb = Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]) / KB;
  t.log(`${peakMb.toFixed(0)} MB, ${node.maxDescriptors} descriptors at most`);
  t.true(peakMb < memoryMb);
  t.true(node.maxDescriptors < maxDescriptors);
}

/** Checks what must hold whatever clients send. */
export async function checkNode(
  t: ExecutionContext,
  node: NodeProcess,
): Promise<void> {
  countDescriptors(node);
  const answer = await sendOrdinary(node.settings.callers, 'ordinary');
  checkProcess(t, node);
  t.is(answer.status, 200);
}

/** What one client of a crowd sends. */
export interface Script {
  readonly head: string;
  /** Piece of the body, sent `count` times with back-pressure. */
  readonly piece?: Buffer;
  readonly count?: number;
  /** Bytes that are sent one at a time from then on. */
  readonly trickle?: boolean;
  /** Whether it reads what it is sent. */
  readonly reads?: boolean;
}

/** Head of a request; fields have defaults. */
export function head(fields: Record<string, string | number> = {}): string {
  const {path = '/a/x', method = 'POST', ...other} = fields;
  const all = {
    host: 'api.example',
    'x-parsleyarch-attempt-id': attemptId(),
    'x-parsleyarch-deadline-ms': 60_000,
    ...other,
  };
  const lines = Object.entries(all).map(([name, text]) => `${name}: ${text}`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n`;
}

/** A chunk of a chunked body. */
export function chunk(bytes: number): Buffer {
  const size = bytes.toString(16);
  return Buffer.from(`${size}\r\n${'x'.repeat(bytes)}\r\n`);
}

async function play(socket: net.Socket, script: Script): Promise<void> {
  const {piece, count = 1, trickle = false} = script;
  socket.write(script.head);
  for (let sent = 0; piece && sent < count && !socket.destroyed; sent += 1) {
    if (socket.write(piece)) continue;
    await new Promise<void>(resolve => {
      const done = () => resolve();
      socket.once('drain', done);
      socket.once('close', done);
    });
  }
  while (trickle && !socket.destroyed) {
    socket.write('x');
    await wait(100);
  }
}

/**
 * Opens connections from several loopback addresses and plays a script on each;
 * resolves once all have sent what they have, and leaves them open until the returned
 * function is called or the test ends.
 */
export async function openCrowd(
  t: ExecutionContext,
  address: string,
  size: number,
  scriptFor: (index: number) => Script,
): Promise<() => void> {
  const [host, port] = address.split(':');
  const sockets: net.Socket[] = [];
  const close = () => {
    for (const socket of sockets) socket.destroy();
  };
  t.teardown(close);
  const members = Array.from({length: size}, (_member, index) => {
    const localAddress = `127.0.0.${2 + (index % 8)}`;
    const socket = net.connect({host, port: Number(port), localAddress});
    sockets.push(socket);
    socket.on('error', () => {});
    const script = scriptFor(index);
    if (script.reads ?? true) socket.resume();
    return play(socket, script);
  });
  await Promise.race([Promise.all(members), wait(SETTLE_MS)]);
  await wait(READ_MS);
  return close;
}
