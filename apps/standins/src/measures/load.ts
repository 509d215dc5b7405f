/** Open-loop load generator for the nodes of a scenario. */
import {chat, type CallerAnswer} from '../client.js';
import type {ClusterNode} from '../cluster.js';
import {expectedAnswer} from '../engine.js';
import {CUSTOMER_KEY} from '../scenario.js';
import {createHistogram, readPercentiles} from './figures.js';

export interface Load {
  readonly nodes: () => readonly ClusterNode[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly random: () => number;
  /** Start of each prompt. */
  readonly label: string;
  /** Default: the key of the scenario's large customer. */
  readonly key?: string;
  readonly headers?: (index: number) => Record<string, string>;
}

/** A request with its answer. */
export interface SentRequest {
  readonly prompt: string;
  readonly answer: CallerAnswer;
  readonly sentAt: number;
}

/** Requests of a load, and the number that ended in each way. */
export interface LoadResult {
  readonly sent: readonly SentRequest[];
  /** Complete answers with the expected text. */
  readonly whole: number;
  /** Refused with an error that says the request was not run. */
  readonly refused: number;
  /** Ended with a typed error after the request had started to run. */
  readonly failed: number;
  /** Connection ended without a complete answer or an error. */
  readonly cut: number;
  /** Complete answers whose text is not the expected one. */
  readonly wrong: number;
  readonly firstToken: {p50: number; p95: number; p99: number};
}

const MS_PER_SECOND = 1_000;
const MAX_TOKENS = 64;

/** Counts requests by outcome. */
export function summarizeRequests(sent: readonly SentRequest[]): LoadResult {
  const result = {whole: 0, refused: 0, failed: 0, cut: 0, wrong: 0};
  const firstTokenMs = createHistogram();
  for (const {prompt, answer} of sent) {
    if (answer.complete) {
      const version = String(answer.headers['x-version']);
      const expected = expectedAnswer(version, `user: ${prompt}`, MAX_TOKENS);
      if (answer.text === expected) result.whole += 1;
      else result.wrong += 1;
      firstTokenMs.recordValue(Math.round(answer.firstTextMs));
    } else if (answer.error?.run === 'not-run') result.refused += 1;
    else if (answer.error) result.failed += 1;
    else result.cut += 1;
  }
  return {sent, ...result, firstToken: readPercentiles(firstTokenMs)};
}

/** Sends requests as a Poisson process and waits until all have ended. */
export async function runLoad(load: Load): Promise<LoadResult> {
  const total = Math.round(load.requestsPerSecond * load.seconds);
  const startedAt = Date.now();
  const pending: Array<Promise<SentRequest>> = [];
  let dueMs = 0;
  for (let index = 0; index < total; index += 1) {
    dueMs -=
      (Math.log(1 - load.random()) * MS_PER_SECOND) / load.requestsPerSecond;
    const waitMs = startedAt + dueMs - Date.now();
    if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs));
    const nodes = load.nodes();
    const node = nodes[Math.floor(load.random() * nodes.length)];
    const prompt = `${load.label} ${index}`;
    const sentAt = Date.now();
    const options = {headers: load.headers?.(index)};
    const answer = chat(
      node.callers,
      load.key ?? CUSTOMER_KEY,
      prompt,
      options,
    );
    pending.push(answer.then(value => ({prompt, answer: value, sentAt})));
  }
  return summarizeRequests(await Promise.all(pending));
}

/** The result without the individual requests. */
export function omitRequests(result: LoadResult): Omit<LoadResult, 'sent'> {
  const {whole, refused, failed, cut, wrong, firstToken} = result;
  return {whole, refused, failed, cut, wrong, firstToken};
}
