/** Open-loop load on the nodes of a scenario. */
import {chat, type CallerAnswer} from '../client.js';
import type {ClusterNode} from '../cluster.js';
import {expectedAnswer} from '../engine.js';
import {CUSTOMER_KEY} from '../scenario.js';
import {histogram, percentiles} from './figures.js';

/** What load to send. */
export interface Load {
  readonly nodes: () => readonly ClusterNode[];
  readonly requestsPerSecond: number;
  readonly seconds: number;
  readonly random: () => number;
  readonly label: string;
  readonly key?: string;
  readonly headers?: (index: number) => Record<string, string>;
}

/** One request that was sent. */
export interface Sent {
  readonly prompt: string;
  readonly answer: CallerAnswer;
  readonly sentAt: number;
}

/** Requests of the load that ended, and how. */
export interface LoadResult {
  readonly sent: readonly Sent[];
  readonly whole: number;
  /** Refused with a truthful "not run". */
  readonly refused: number;
  /** Ended with a typed error after work had begun. */
  readonly failed: number;
  /** Cut without an answer or an error. */
  readonly cut: number;
  /** Whole answers that are not the answer to their request. */
  readonly wrong: number;
  readonly firstToken: {p50: number; p95: number; p99: number};
}

const MS_PER_SECOND = 1_000;
const MAX_TOKENS = 64;

/** Counts how requests ended. */
export function tally(sent: readonly Sent[]): LoadResult {
  const result = {whole: 0, refused: 0, failed: 0, cut: 0, wrong: 0};
  const first = histogram();
  for (const {prompt, answer} of sent) {
    if (answer.complete) {
      const version = String(answer.headers['x-version']);
      const expected = expectedAnswer(version, `user: ${prompt}`, MAX_TOKENS);
      if (answer.text === expected) result.whole += 1;
      else result.wrong += 1;
      first.recordValue(Math.round(answer.firstTextMs));
    } else if (answer.error?.run === 'not-run') result.refused += 1;
    else if (answer.error) result.failed += 1;
    else result.cut += 1;
  }
  return {sent, ...result, firstToken: percentiles(first)};
}

/** Sends requests at random moments of a steady rate; waits for all to end. */
export async function runLoad(load: Load): Promise<LoadResult> {
  const total = Math.round(load.requestsPerSecond * load.seconds);
  const startedAt = Date.now();
  const sends: Array<Promise<Sent>> = [];
  let due = 0;
  for (let index = 0; index < total; index += 1) {
    due -=
      (Math.log(1 - load.random()) * MS_PER_SECOND) / load.requestsPerSecond;
    const wait = startedAt + due - Date.now();
    if (wait > 1) await new Promise(resolve => setTimeout(resolve, wait));
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
    sends.push(answer.then(value => ({prompt, answer: value, sentAt})));
  }
  return tally(await Promise.all(sends));
}

/** The result without the single requests. */
export function countsOf(result: LoadResult): Omit<LoadResult, 'sent'> {
  const {whole, refused, failed, cut, wrong, firstToken} = result;
  return {whole, refused, failed, cut, wrong, firstToken};
}
