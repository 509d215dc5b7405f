/**
 * Stand-in of a model engine: streams made-up tokens, warms up with work, and
 * falls over when it is given more than it bears.
 */
import {createHash} from 'node:crypto';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
  beginEvents,
  readJson,
  reply,
  sendEvent,
  startServer,
  streamReports,
  type StandInServer,
} from './http.js';

/** How an engine behaves. */
export interface EngineOptions {
  readonly port?: number;
  readonly versions: readonly string[];
  /** Concurrency that it bears after a start, and when warm. */
  readonly coldLimit: number;
  readonly warmLimit: number;
  /** Completed requests per step of its limit. */
  readonly warmEvery: number;
  readonly firstTokenMs: number;
  readonly tokenMs: number;
  /** Time from a crash to the next start. */
  readonly restartMs: number;
  /** Period of load reports; they lag by up to this. */
  readonly reportMs: number;
  /** Versions that it can hold, if the router places them; 0 if not. */
  readonly slots: number;
  /** Time that a load of weights takes. */
  readonly loadMs: number;
  /** Whether it refuses orders with an old fencing number. */
  readonly checksOrders: boolean;
  /** Prompt prefixes that its cache holds. */
  readonly cachedPrefixes: number;
}

/** An engine's usual behaviour. */
export const ENGINE: EngineOptions = {
  versions: [],
  coldLimit: 2,
  warmLimit: 8,
  warmEvery: 2,
  firstTokenMs: 20,
  tokenMs: 4,
  restartMs: 300,
  reportMs: 200,
  cachedPrefixes: 64,
  slots: 0,
  loadMs: 200,
  checksOrders: true,
};

/** What is to go wrong with one stream. */
export interface StreamFault {
  /** Cuts the connection after this many tokens of the stream. */
  readonly cutAfter?: number;
  /** Ends the stream without a finish after this many tokens. */
  readonly endAfter?: number;
  /** Sends a frame of another request after this many tokens. */
  readonly foreignAfter?: number;
  /** Sends each frame twice. */
  readonly twice?: boolean;
  /** Leaves out the frame with this index. */
  readonly skip?: number;
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

/** A running engine. */
export interface EngineStandIn {
  readonly server: StandInServer;
  readonly options: EngineOptions;
  readonly running: Map<string, Job>;
  /** Called for each stream; what it returns goes wrong. */
  fault: (requestId: string, version: string) => StreamFault | undefined;
  /** Chance that a job on a version breaks off. */
  errorRate: (version: string) => number;
  /** Time between tokens, when it is to differ from the options. */
  paceMs?: number;
  incarnation: number;
  completed: number;
  crashes: number;
  /** Greatest number of jobs running beyond what was borne. */
  overload: number;
  /** Jobs begun, by version. */
  readonly begun: Map<string, number>;
  lastBegunAt: number;
  prefixHits: number;
  /** Versions that it holds now. */
  readonly held: Set<string>;
  /** Orders that it carried out, with their fencing numbers. */
  readonly orders: TakenOrder[];
  /** Greatest fencing number seen. */
  fence: number;
}

/** An order that an engine carried out. */
export interface TakenOrder {
  readonly order: string;
  readonly version: string;
  readonly fence: number;
  readonly at: number;
}

const TOKENS_MIN = 6;
const TOKENS_SPREAD = 10;
/** How long a job goes on without a reader. */
const ORPHAN_MS = 1_500;
const HIT_FACTOR = 0.3;
/** A prompt with this word is answered with as many tokens as it allows. */
export const LONG_WORD = 'LONG';
/** A prompt with this word crashes whatever engine runs it. */
export const POISON_WORD = 'POISON';

function digestOf(text: string): number {
  return createHash('sha1').update(text).digest().readUInt32BE(0);
}

/** The token of a job at an index; the same on every engine. */
export function tokenText(
  version: string,
  prompt: string,
  index: number,
): string {
  const word = digestOf(`${version}/${prompt}/${index}`).toString(36);
  return `${version}:${index}:${word} `;
}

/** The whole answer that every engine gives to a prompt. */
export function wholeAnswer(
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
  return Math.min(maxTokens, TOKENS_MIN + (digestOf(prompt) % TOKENS_SPREAD));
}

/** Jobs that the engine bears now. */
export function bearable(engine: EngineStandIn): number {
  const {coldLimit, warmLimit, warmEvery} = engine.options;
  const grown = Math.floor(engine.completed / warmEvery);
  return Math.min(warmLimit, coldLimit + grown);
}

/** Ends the engine as a crash does; it starts again cold after a while. */
export async function crash(engine: EngineStandIn): Promise<void> {
  engine.crashes += 1;
  forget(engine);
  await engine.server.shut();
  const {restartMs} = engine.options;
  await new Promise(resolve => setTimeout(resolve, restartMs));
  engine.incarnation = Date.now();
  await engine.server.open();
}

/** Turns the engine cold without any sign but its next load report. */
export function turnCold(engine: EngineStandIn): void {
  engine.incarnation = Date.now();
  engine.completed = 0;
}

function forget(engine: EngineStandIn): void {
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
  const pace = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));
  await pace(job.firstTokenMs);
  while (!job.cancelled && job.tokens < job.total) {
    job.tokens += 1;
    for (const wake of job.wake) wake();
    job.wake.clear();
    if (job.tokens < job.total)
      await pace(engine.paceMs ?? engine.options.tokenMs);
  }
  if (job.cancelled) return;
  job.done = true;
  finishJob(job, false);
  engine.completed += 1;
  engine.running.delete(job.requestId);
}

/** Sends a job's tokens from an offset on, with the fault that is due. */
async function streamJob(
  job: Job,
  offset: number,
  response: ServerResponse,
  fault: StreamFault,
): Promise<void> {
  beginEvents(response);
  const {requestId, version, prompt} = job;
  let sent = 0;
  for (let index = offset; index < job.total; index += 1) {
    while (job.tokens <= index && !job.cancelled)
      await new Promise<void>(resolve => job.wake.add(resolve));
    if (job.cancelled || response.destroyed) {
      response.destroy();
      return;
    }
    if (sent === fault.cutAfter) {
      response.destroy();
      return;
    }
    if (sent === fault.endAfter) {
      response.end();
      return;
    }
    const text = tokenText(version, prompt, index);
    const frame = {requestId, index, text};
    if (sent === fault.foreignAfter)
      sendEvent(response, 'token', {...frame, requestId: 'another', text: 'X'});
    if (fault.skip !== index) sendEvent(response, 'token', frame);
    if (fault.twice) sendEvent(response, 'token', frame);
    sent += 1;
  }
  sendEvent(response, 'finish', {requestId, tokens: job.total, reason: 'stop'});
  response.end();
}

/** Starts an engine. */
export async function startEngine(
  given: Partial<EngineOptions>,
): Promise<EngineStandIn> {
  const options = {...ENGINE, ...given};
  const prefixes: string[] = [];

  function firstTokenMs(prompt: string): number {
    const prefix = prompt.slice(0, 40);
    const known = prefixes.indexOf(prefix);
    if (known >= 0) prefixes.splice(known, 1);
    prefixes.push(prefix);
    if (prefixes.length > options.cachedPrefixes) prefixes.shift();
    if (known >= 0) engine.prefixHits += 1;
    return options.firstTokenMs * (known >= 0 ? HIT_FACTOR : 1);
  }

  async function generate(request: IncomingMessage, response: ServerResponse) {
    const body = await readJson(request);
    const version = String(body['version']);
    const prompt = String(body['prompt']);
    const requestId = String(body['requestId']);
    if (!engine.held.has(version))
      return reply(response, 409, {error: 'no such version', run: 'not-run'});
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
    engine.begun.set(version, (engine.begun.get(version) ?? 0) + 1);
    engine.lastBegunAt = Date.now();
    const over = engine.running.size - bearable(engine);
    engine.overload = Math.max(engine.overload, over);
    if (over > 0 || prompt.includes(POISON_WORD)) return crash(engine);
    void runJob(engine, job);
    response.on('close', () => {
      if (job.done) return;
      setTimeout(() => {
        if (job.done || job.wake.size > 0) return;
        finishJob(job, true);
        engine.running.delete(requestId);
      }, ORPHAN_MS);
    });
    const breaks = Math.random() < engine.errorRate(version);
    const fault = breaks
      ? {endAfter: 1}
      : (engine.fault(requestId, version) ?? {});
    await streamJob(job, Number(body['offset']), response, fault);
  }

  async function resume(url: URL, response: ServerResponse) {
    const id = decodeURIComponent(url.pathname.slice('/resume/'.length));
    const job = engine.running.get(id);
    if (!job) return reply(response, 404, {error: 'no such job'});
    const offset = Number(url.searchParams.get('offset'));
    await streamJob(job, offset, response, {});
  }

  async function takeOrder(request: IncomingMessage, response: ServerResponse) {
    const body = await readJson(request);
    const [order, version] = [String(body['order']), String(body['version'])];
    const fence = Number(body['fence']);
    if (options.checksOrders && fence < engine.fence)
      return reply(response, 409, {error: 'old fence', run: 'not-run'});
    engine.fence = Math.max(engine.fence, fence);
    engine.orders.push({order, version, fence, at: Date.now()});
    reply(response, 200, {});
    if (order === 'unload') {
      engine.held.delete(version);
      return;
    }
    if (engine.held.has(version)) return;
    await new Promise(resolve => setTimeout(resolve, options.loadMs));
    if (engine.held.size >= options.slots) return;
    engine.held.add(version);
    turnCold(engine);
  }

  const server = await startServer(
    options.port ?? 0,
    async (request, response, url) => {
      if (url.pathname === '/generate') return generate(request, response);
      if (url.pathname === '/orders') return takeOrder(request, response);
      if (url.pathname.startsWith('/resume/')) return resume(url, response);
      if (url.pathname.startsWith('/cancel/')) {
        const id = decodeURIComponent(url.pathname.slice('/cancel/'.length));
        const job = engine.running.get(id);
        if (job) finishJob(job, true);
        engine.running.delete(id);
        return reply(response, 200, {});
      }
      if (url.pathname === '/report') {
        const report = () => ({
          incarnation: engine.incarnation,
          running: engine.running.size,
          waiting: 0,
          versions: [...engine.held],
        });
        return streamReports(response, report, options.reportMs);
      }
      reply(response, 404, {});
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
    overload: 0,
    begun: new Map(),
    lastBegunAt: 0,
    prefixHits: 0,
    held: new Set(options.slots ? [] : options.versions),
    orders: [],
    fence: 0,
  };
  return engine;
}
