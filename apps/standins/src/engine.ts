/**
 * Stand-in for a model engine: streams generated tokens, raises its concurrency
 * limit as it completes jobs, and crashes when the limit is exceeded.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  startEventStream,
  readJson,
  sendJson,
  sendEvent,
  startServer,
  streamReports,
  type StandInServer,
} from './http.js';

/** Behavior of an engine. */
export interface EngineOptions {
  readonly port?: number;
  readonly versions: readonly string[];
  /** Concurrency limit after a start, and when warm. */
  readonly coldLimit: number;
  readonly warmLimit: number;
  /** Completed requests that raise the limit by one. */
  readonly completionsPerLimitStep: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /** Delay between a crash and the restart. */
  readonly restartMs: number;
  /** Interval of load reports, and so their greatest age. */
  readonly reportMs: number;
  /** Versions that fit at once when the router places them; 0 without placement. */
  readonly slots: number;
  /** Time to load the weights of a version. */
  readonly loadMs: number;
  /** Whether orders with a stale fencing token are rejected. */
  readonly checksOrders: boolean;
  /** Capacity of the prompt prefix cache. */
  readonly prefixCacheCapacity: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  versions: [],
  coldLimit: 2,
  warmLimit: 8,
  completionsPerLimitStep: 2,
  firstTokenMs: 20,
  tokenMs: 4,
  restartMs: 300,
  reportMs: 200,
  prefixCacheCapacity: 64,
  slots: 0,
  loadMs: 200,
  checksOrders: true,
};

/** Fault to inject into one stream. */
export interface StreamFault {
  /** Closes the connection after this many tokens. */
  readonly cutAfterTokens?: number;
  /** Ends the stream without a finish event after this many tokens. */
  readonly endAfterTokens?: number;
  /** Sends a frame of a different request after this many tokens. */
  readonly foreignFrameAfterTokens?: number;
  /** Sends each frame twice. */
  readonly duplicateFrames?: boolean;
  /** Index of a frame that is not sent. */
  readonly skippedIndex?: number;
}

interface Job {
  readonly requestId: string;
  readonly version: string;
  readonly prompt: string;
  readonly total: number;
  readonly incarnation: number;
  readonly startedAt: number;
  readonly firstTokenMs: number;
  tokens: number;
  done: boolean;
  cancelled: boolean;
  readonly wake: Set<() => void>;
}

export interface EngineStandIn {
  readonly server: StandInServer;
  readonly options: EngineOptions;
  readonly running: Map<string, Job>;
  /** Chooses the fault for each stream. */
  fault: (requestId: string, version: string) => StreamFault | undefined;
  /** Probability that a job on a version ends early. */
  errorRate: (version: string) => number;
  /** Overrides `options.tokenMs`. */
  tokenIntervalMs?: number;
  incarnation: number;
  completed: number;
  crashes: number;
  /** Greatest number of running jobs above the concurrency limit. */
  peakExcessJobs: number;
  /** Started jobs by version. */
  readonly startedJobs: Map<string, number>;
  lastStartedAt: number;
  prefixHits: number;
  readonly loadedVersions: Set<string>;
  /** Executed orders with their fencing tokens. */
  readonly orders: ExecutedOrder[];
  /** Greatest fencing token received. */
  highestFence: number;
}

export interface ExecutedOrder {
  readonly order: string;
  readonly version: string;
  readonly fence: number;
  readonly at: number;
}

const MIN_TOKEN_COUNT = 6;
const TOKEN_COUNT_SPREAD = 10;
/** Time that a job keeps running without a connected reader. */
const ORPHAN_TIMEOUT_MS = 1_500;
const CACHE_HIT_LATENCY_RATIO = 0.3;
/** A prompt with this word gets an answer of `maxTokens` tokens. */
export const LONG_WORD = 'LONG';
/** A prompt with this word crashes every engine that runs it. */
export const POISON_WORD = 'POISON';

function hashText(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** Token of a job at an index; the same on every engine. */
export function tokenText(
  version: string,
  prompt: string,
  index: number,
): string {
  const word = hashText(`${version}/${prompt}/${index}`).toString(36);
  return `${version}:${index}:${word} `;
}

/** Complete answer to a prompt; the same from every engine. */
export function expectedAnswer(
  version: string,
  prompt: string,
  maxTokens: number,
): string {
  let text = '';
  for (let index = 0; index < answerLength(prompt, maxTokens); index += 1)
    text += tokenText(version, prompt, index);
  return text;
}

function answerLength(prompt: string, maxTokens: number): number {
  if (prompt.includes(LONG_WORD)) return maxTokens;
  return Math.min(
    maxTokens,
    MIN_TOKEN_COUNT + (hashText(prompt) % TOKEN_COUNT_SPREAD),
  );
}

/** Present concurrency limit, which grows with completed jobs. */
export function concurrencyLimit(engine: EngineStandIn): number {
  const {coldLimit, warmLimit, completionsPerLimitStep} = engine.options;
  const growth = Math.floor(engine.completed / completionsPerLimitStep);
  return Math.min(warmLimit, coldLimit + growth);
}

/** Crashes the engine; it restarts cold after `restartMs`. */
export async function crash(engine: EngineStandIn): Promise<void> {
  engine.crashes += 1;
  cancelAllJobs(engine);
  await engine.server.stop();
  const {restartMs} = engine.options;
  await new Promise(resolve => setTimeout(resolve, restartMs));
  engine.incarnation = Date.now();
  await engine.server.restart();
}

/** Makes the engine cold without a crash; only its next load report shows it. */
export function resetWarmup(engine: EngineStandIn): void {
  engine.incarnation = Date.now();
  engine.completed = 0;
}

function cancelAllJobs(engine: EngineStandIn): void {
  for (const job of engine.running.values()) finishJob(job, true);
  engine.running.clear();
  engine.completed = 0;
}

function finishJob(job: Job, cancelled: boolean): void {
  job.cancelled ||= cancelled;
  for (const wake of job.wake) wake();
  job.wake.clear();
}

async function runJob(engine: EngineStandIn, job: Job): Promise<void> {
  const delay = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  await delay(job.firstTokenMs);
  while (!job.cancelled && job.tokens < job.total) {
    job.tokens += 1;
    for (const wake of job.wake) wake();
    job.wake.clear();
    if (job.tokens < job.total)
      await delay(engine.tokenIntervalMs ?? engine.options.tokenMs);
  }
  if (job.cancelled) return;
  job.done = true;
  finishJob(job, false);
  engine.completed += 1;
  engine.running.delete(job.requestId);
}

/** Streams a job's tokens from an offset on and injects the fault. */
async function streamJob(
  job: Job,
  offset: number,
  response: ServerResponse,
  fault: StreamFault,
): Promise<void> {
  startEventStream(response);
  const {requestId, version, prompt} = job;
  let sent = 0;
  for (let index = offset; index < job.total; index += 1) {
    while (job.tokens <= index && !job.cancelled)
      await new Promise<void>(resolve => job.wake.add(resolve));
    if (job.cancelled || response.destroyed) {
      response.destroy();
      return;
    }
    if (sent === fault.cutAfterTokens) {
      response.destroy();
      return;
    }
    if (sent === fault.endAfterTokens) {
      response.end();
      return;
    }
    const text = tokenText(version, prompt, index);
    const frame = {requestId, index, text};
    if (sent === fault.foreignFrameAfterTokens)
      sendEvent(response, 'token', {...frame, requestId: 'another', text: 'X'});
    if (fault.skippedIndex !== index) sendEvent(response, 'token', frame);
    if (fault.duplicateFrames) sendEvent(response, 'token', frame);
    sent += 1;
  }
  sendEvent(response, 'finish', {requestId, tokens: job.total, reason: 'stop'});
  response.end();
}

export async function startEngine(
  overrides: Partial<EngineOptions>,
): Promise<EngineStandIn> {
  const options = {...DEFAULT_ENGINE_OPTIONS, ...overrides};
  const prefixes: string[] = [];

  /** Time to the first token, shorter on a cache hit; caches the prompt prefix. */
  function firstTokenMs(prompt: string): number {
    const prefix = prompt.slice(0, 40);
    const cachedIndex = prefixes.indexOf(prefix);
    if (cachedIndex >= 0) prefixes.splice(cachedIndex, 1);
    prefixes.push(prefix);
    if (prefixes.length > options.prefixCacheCapacity) prefixes.shift();
    if (cachedIndex >= 0) engine.prefixHits += 1;
    return (
      options.firstTokenMs * (cachedIndex >= 0 ? CACHE_HIT_LATENCY_RATIO : 1)
    );
  }

  async function generate(request: IncomingMessage, response: ServerResponse) {
    const body = await readJson(request);
    const version = String(body['version']);
    const prompt = String(body['prompt']);
    const requestId = String(body['requestId']);
    if (!engine.loadedVersions.has(version))
      return sendJson(response, 409, {
        error: 'no such version',
        run: 'not-run',
      });
    const job: Job = {
      requestId,
      version,
      prompt,
      total: answerLength(prompt, Number(body['maxTokens'])),
      incarnation: engine.incarnation,
      startedAt: Date.now(),
      firstTokenMs: firstTokenMs(prompt),
      tokens: Number(body['offset']),
      done: false,
      cancelled: false,
      wake: new Set(),
    };
    engine.running.set(requestId, job);
    engine.startedJobs.set(version, (engine.startedJobs.get(version) ?? 0) + 1);
    engine.lastStartedAt = Date.now();
    const excess = engine.running.size - concurrencyLimit(engine);
    engine.peakExcessJobs = Math.max(engine.peakExcessJobs, excess);
    if (excess > 0 || prompt.includes(POISON_WORD)) return crash(engine);
    void runJob(engine, job);
    response.on('close', () => {
      if (job.done) return;
      setTimeout(() => {
        if (job.done || job.wake.size > 0) return;
        finishJob(job, true);
        engine.running.delete(requestId);
      }, ORPHAN_TIMEOUT_MS);
    });
    const fails = Math.random() < engine.errorRate(version);
    const fault = fails
      ? {endAfterTokens: 1}
      : (engine.fault(requestId, version) ?? {});
    await streamJob(job, Number(body['offset']), response, fault);
  }

  async function resume(url: URL, response: ServerResponse) {
    const id = decodeURIComponent(url.pathname.slice('/resume/'.length));
    const job = engine.running.get(id);
    if (!job) return sendJson(response, 404, {error: 'no such job'});
    const offset = Number(url.searchParams.get('offset'));
    await streamJob(job, offset, response, {});
  }

  async function handleOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    const body = await readJson(request);
    const [order, version] = [String(body['order']), String(body['version'])];
    const fence = Number(body['fence']);
    if (options.checksOrders && fence < engine.highestFence)
      return sendJson(response, 409, {error: 'old fence', run: 'not-run'});
    engine.highestFence = Math.max(engine.highestFence, fence);
    engine.orders.push({order, version, fence, at: Date.now()});
    sendJson(response, 200, {});
    if (order === 'unload') {
      engine.loadedVersions.delete(version);
      return;
    }
    if (engine.loadedVersions.has(version)) return;
    await new Promise(resolve => setTimeout(resolve, options.loadMs));
    if (engine.loadedVersions.size >= options.slots) return;
    engine.loadedVersions.add(version);
    resetWarmup(engine);
  }

  const server = await startServer(
    options.port ?? 0,
    async (request, response, url) => {
      if (url.pathname === '/generate') return generate(request, response);
      if (url.pathname === '/orders') return handleOrder(request, response);
      if (url.pathname.startsWith('/resume/')) return resume(url, response);
      if (url.pathname.startsWith('/cancel/')) {
        const id = decodeURIComponent(url.pathname.slice('/cancel/'.length));
        const job = engine.running.get(id);
        if (job) finishJob(job, true);
        engine.running.delete(id);
        return sendJson(response, 200, {});
      }
      if (url.pathname === '/report') {
        const report = () => ({
          incarnation: engine.incarnation,
          running: engine.running.size,
          waiting: 0,
          versions: [...engine.loadedVersions],
        });
        return streamReports(response, report, options.reportMs);
      }
      sendJson(response, 404, {});
    },
  );
  const engine: EngineStandIn = {
    server,
    options,
    running: new Map(),
    fault: () => undefined,
    errorRate: () => 0,
    incarnation: Date.now(),
    completed: 0,
    crashes: 0,
    peakExcessJobs: 0,
    startedJobs: new Map(),
    lastStartedAt: 0,
    prefixHits: 0,
    loadedVersions: new Set(options.slots ? [] : options.versions),
    orders: [],
    highestFence: 0,
  };
  return engine;
}
