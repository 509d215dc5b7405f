/**
 * Client of a model engine. The only module that knows the engines' wire
 * format (docs/API.md, "Model engine").
 */
import {
  failure,
  messageOf,
  Run,
  type Failure,
} from '@parsleyarch/errors/failure';
import * as http from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {exchange, readBody} from './exchange.js';
import {readFrames, type Frame} from './frames.js';

/** Work for an engine. */
export interface Job {
  readonly requestId: string;
  readonly version: string;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Larger is more urgent. */
  readonly priority: number;
  /** Text already generated elsewhere, which the engine continues. */
  readonly written: string;
  /** Index of the first token that the engine is to send. */
  readonly offset: number;
}

/** One generated token. */
export interface Token {
  readonly index: number;
  readonly text: string;
}

/** What an engine sends after the last token. */
export interface Finish {
  readonly tokens: number;
  readonly reason: string;
}

/** Connections to engines. */
export interface EngineClient {
  readonly agent: http.Agent;
  /** Longest silence within a stream, milliseconds. */
  readonly idleMs: number;
  /** Name of this node, sent with each job. */
  readonly node: string;
}

const TokenFrame = z.object({
  requestId: z.string(),
  index: z.number().int().nonnegative(),
  text: z.string(),
});
const FinishFrame = z.object({
  requestId: z.string(),
  tokens: z.number().int().nonnegative(),
  reason: z.string(),
});
const ReportFrame = z.object({
  incarnation: z.number(),
  running: z.number(),
  waiting: z.number(),
  versions: z.array(z.string()),
});

/** What an engine reports of itself, with a lag. */
export type LoadReport = z.infer<typeof ReportFrame>;

const MAX_REFUSAL_BYTES = 4_096;
const REPORT_IDLE_MS = 3_000;
const CANCEL_IDLE_MS = 1_000;

/** Creates a client with connections of its own. */
export function createEngineClient(node: string, idleMs: number): EngineClient {
  return {node, idleMs, agent: new http.Agent({keepAlive: true})};
}

function parseFrame<T>(schema: z.ZodType<T>, data: string): T | undefined {
  try {
    const parsed = schema.safeParse(JSON.parse(data));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

async function refusalOf(response: http.IncomingMessage): Promise<Failure> {
  const body = await readBody(response, MAX_REFUSAL_BYTES);
  const text = body.isOk() ? body.value.toString('utf8') : '';
  const saysNotRun = text.includes('"run":"not-run"');
  return failure('upstream-refused', `engine answered ${response.statusCode}`, {
    run: saysNotRun ? Run.notRun : Run.unknown,
  });
}

/** Checks the frames of one stream: right request, no gap, no repeat. */
async function* checkedTokens(
  frames: AsyncIterable<Frame>,
  requestId: string,
  offset: number,
): AsyncGenerator<Token, Result<Finish, Failure>> {
  let next = offset;
  try {
    for await (const {event, data} of frames) {
      if (event === 'token') {
        const token = parseFrame(TokenFrame, data);
        if (!token || token.requestId !== requestId)
          return err(failure('upstream-invalid', 'foreign or broken frame'));
        if (token.index < next) continue;
        if (token.index > next)
          return err(failure('upstream-invalid', 'frames are missing'));
        next += 1;
        yield {index: token.index, text: token.text};
      } else if (event === 'finish') {
        const finish = parseFrame(FinishFrame, data);
        if (finish?.requestId !== requestId || finish.tokens !== next)
          return err(failure('upstream-invalid', 'the finish does not fit'));
        return ok({tokens: finish.tokens, reason: finish.reason});
      }
    }
  } catch (thrown) {
    return err(failure('upstream-lost', messageOf(thrown)));
  }
  return err(failure('upstream-lost', 'the stream ended without a finish'));
}

async function* streamFrom(
  client: EngineClient,
  url: URL,
  method: string,
  body: Buffer | undefined,
  requestId: string,
  offset: number,
  signal: AbortSignal,
): AsyncGenerator<Token, Result<Finish, Failure>> {
  const answer = await exchange({
    url,
    method,
    body,
    agent: client.agent,
    idleMs: client.idleMs,
    signal,
    headers: {
      'content-type': 'application/json',
      'x-request-id': requestId,
      'x-caller': client.node,
    },
  });
  if (answer.isErr()) return err(answer.error);
  const response = answer.value;
  if (response.statusCode !== 200) return err(await refusalOf(response));
  return yield* checkedTokens(readFrames(response), requestId, offset);
}

/**
 * Runs a job. Yields each token once and in order; the return value is the
 * finish, or why there is none.
 */
export function generate(
  client: EngineClient,
  address: string,
  job: Job,
  signal: AbortSignal,
): AsyncGenerator<Token, Result<Finish, Failure>> {
  return streamFrom(
    client,
    new URL('/generate', address),
    'POST',
    Buffer.from(JSON.stringify(job)),
    job.requestId,
    job.offset,
    signal,
  );
}

/** Takes up the broken stream of a job that still runs on the same engine. */
export function resume(
  client: EngineClient,
  address: string,
  requestId: string,
  offset: number,
  signal: AbortSignal,
): AsyncGenerator<Token, Result<Finish, Failure>> {
  const path = `/resume/${encodeURIComponent(requestId)}?offset=${offset}`;
  const url = new URL(path, address);
  return streamFrom(client, url, 'GET', undefined, requestId, offset, signal);
}

/** Asks an engine to drop a job; the outcome does not matter. */
export async function cancel(
  client: EngineClient,
  address: string,
  requestId: string,
): Promise<void> {
  const answer = await exchange({
    url: new URL(`/cancel/${encodeURIComponent(requestId)}`, address),
    method: 'POST',
    agent: client.agent,
    idleMs: CANCEL_IDLE_MS,
    headers: {'x-caller': client.node},
  });
  if (answer.isOk()) answer.value.resume();
}

/**
 * Follows an upstream's load reports until the connection breaks or the signal
 * ends it.
 */
export async function followReports(
  client: EngineClient,
  address: string,
  onReport: (report: LoadReport) => void,
  signal: AbortSignal,
): Promise<void> {
  const answer = await exchange({
    url: new URL('/report', address),
    method: 'GET',
    agent: client.agent,
    idleMs: REPORT_IDLE_MS,
    signal,
    headers: {'x-caller': client.node},
  });
  if (answer.isErr()) return;
  try {
    for await (const {event, data} of readFrames(answer.value)) {
      if (event !== 'report') continue;
      const report = parseFrame(ReportFrame, data);
      if (report) onReport(report);
    }
  } catch {
    return;
  }
}

/** An order to an engine to change the versions that it holds. */
export interface EngineOrder {
  readonly order: 'load' | 'unload';
  readonly version: string;
  /** Engines that check orders refuse a number below the greatest seen. */
  readonly fence: number;
}

/** Sends an order; a lost answer is learned from the next load report. */
export async function sendOrder(
  client: EngineClient,
  address: string,
  order: EngineOrder,
  timeoutMs: number,
): Promise<Result<void, Failure>> {
  const answer = await exchange({
    url: new URL('/orders', address),
    method: 'POST',
    body: Buffer.from(JSON.stringify(order)),
    agent: client.agent,
    idleMs: timeoutMs,
    signal: AbortSignal.timeout(timeoutMs),
    headers: {'content-type': 'application/json', 'x-caller': client.node},
  });
  if (answer.isErr()) return err(answer.error);
  answer.value.resume();
  if (answer.value.statusCode === 200) return ok(undefined);
  return err(await refusalOf(answer.value));
}
