/**
 * Generates an answer on one version. After a broken stream the generation is
 * resumed or continued on another engine, so that the answer is complete or
 * ends with an error.
 */
import {failure, Run, type Failure} from '@parsleyarch/errors/failure';
import {
  refillRetryBudget,
  spendRetryToken,
} from '@parsleyarch/policy/admission';
import {PoisonStatus} from '@parsleyarch/policy/poison';
import {isVersionAllowed} from '@parsleyarch/policy/version';
import {rankCandidates} from '@parsleyarch/protocol/rendezvous';
import {
  cancelJob,
  generate,
  resumeStream,
  type Finish,
  type Job,
  type Token,
} from '@parsleyarch/upstream/engine';
import {err, ok, type Result} from 'neverthrow';
import {acquire, type AcquiredUpstream} from './acquire.js';
import {
  currentCustomer,
  checkReady,
  remainingMs,
  type Context,
} from './context.js';
import {fingerprintOf, checkPoison, reportCleared} from './crashes.js';
import {recordDecision} from './decisions.js';
import {recordOutcome} from './learning.js';
import {getRetryBudget, type RunningRequest, type RouterNode} from './node.js';
import {awaitRestartOrReport, endRunning, RequestOutcome} from './upstreams.js';

/** Upper bound on the upstreams that one generation is sent to. */
const MAX_ATTEMPT_COUNT = 4;
const POISON_RETRY_AFTER_MS = 3_600_000;
/**
 * A first token that takes longer than this multiple of the mean time, plus the
 * margin, shows that the upstream has lost its warm state.
 */
const SLOW_FIRST_TOKEN_RATIO = 5;
const SLOW_FIRST_TOKEN_MARGIN_MS = 500;
const FIRST_TOKEN_SMOOTHING_RATIO = 0.1;

/** Input of a generation. */
export interface GenerationRequest {
  /** Job id on the engines. */
  readonly jobId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly version: string;
  readonly priority: number;
  /** Receives each token once and in order; its promise is backpressure. */
  readonly sink: (token: Token) => Promise<void>;
}

/** State of a generation in progress. */
interface Generation {
  readonly context: Context;
  readonly request: GenerationRequest;
  readonly fingerprint: string;
  text: string;
  tokens: number;
  /** Upstreams on which this generation has failed. */
  readonly avoid: Set<string>;
  /** Attempts that may have run on an upstream. */
  attempts: number;
}

/** A complete answer. */
export interface GenerationResult {
  readonly text: string;
  readonly tokens: number;
  readonly reason: string;
}

/** Hash of a generation's input, independent of the caller. */
export function fingerprintGeneration(
  prompt: string,
  maxTokens: number,
): string {
  return fingerprintOf('generate', prompt, String(maxTokens));
}

function poisonFailure(attempts: number): Failure {
  return failure('suspected-poison', 'this request crashes upstreams', {
    run: attempts > 0 ? Run.ran : Run.notRun,
    retryAfterMs: POISON_RETRY_AFTER_MS,
  });
}

function checkAllowed(
  node: RouterNode,
  context: Context,
  version: string,
): Failure | undefined {
  const unready = checkReady(node);
  if (unready) return unready;
  const customer = currentCustomer(node, context);
  if (customer && isVersionAllowed(node.configuration, customer, version))
    return undefined;
  return failure(
    'version-withdrawn',
    `version ${version} is withdrawn or not allowed now`,
  );
}

async function acquireEngine(
  node: RouterNode,
  {context, request, avoid}: Generation,
  running: RunningRequest,
): Promise<Result<AcquiredUpstream, Failure>> {
  const order = rankCandidates(context.session.id, [...node.upstreams.keys()]);
  return acquire(node, {
    requirements: {
      version: request.version,
      failureDomain: node.settings.failureDomain,
      affinity: upstream => -order.indexOf(upstream),
      avoid,
      suspect: running.suspect,
    },
    pool: `version:${request.version}`,
    customer: context.customer,
    weight: currentCustomer(node, context)?.weight ?? 1,
    running,
    deadlineMs: remainingMs(node, context),
    signal: context.abort.signal,
    checkAllowed: () => checkAllowed(node, context, request.version),
  });
}

/** Forwards tokens to the sink until the stream finishes or fails. */
async function forwardTokens(
  generation: Generation,
  stream: AsyncGenerator<Token, Result<Finish, Failure>>,
  onFirstToken: () => void,
): Promise<Result<Finish, Failure>> {
  let isFirst = true;
  for (;;) {
    const step = await stream.next();
    if (step.done) return step.value;
    if (isFirst) onFirstToken();
    isFirst = false;
    generation.text += step.value.text;
    generation.tokens += 1;
    await generation.request.sink(step.value);
  }
}

/** Resumes a broken stream if the engine still runs the job. */
async function resumeOnUpstream(
  node: RouterNode,
  generation: Generation,
  {upstream, incarnation}: AcquiredUpstream,
): Promise<Result<Finish, Failure>> {
  const {context, request, tokens} = generation;
  await awaitRestartOrReport(node, upstream, incarnation);
  if (upstream.incarnation !== incarnation || !upstream.report)
    return err(
      failure('upstream-lost', 'the upstream restarted or stopped reporting'),
    );
  recordDecision(node, {
    decision: 'resume',
    requestId: context.requestId,
    choice: upstream.name,
    reason: `stream broke after ${tokens} tokens`,
  });
  const stream = resumeStream(
    node.engines,
    upstream.spec.address,
    request.jobId,
    tokens,
    context.abort.signal,
  );
  return forwardTokens(generation, stream, () => {});
}

function classifyOutcome(
  result: Result<Finish, Failure>,
  slow: boolean,
): RequestOutcome {
  if (result.isOk()) return slow ? RequestOutcome.failed : RequestOutcome.done;
  if (result.error.kind === 'upstream-lost') return RequestOutcome.lost;
  if (result.error.kind === 'no-upstream') return RequestOutcome.dropped;
  return RequestOutcome.failed;
}

/**
 * Updates the mean first-token time. Returns whether the token was so late that
 * the upstream must be cold.
 */
function recordFirstToken(
  {upstream}: AcquiredUpstream,
  tookMs: number,
): boolean {
  const meanMs = upstream.firstTokenMs;
  const slow =
    meanMs > 0 &&
    tookMs > meanMs * SLOW_FIRST_TOKEN_RATIO + SLOW_FIRST_TOKEN_MARGIN_MS;
  if (meanMs === 0) upstream.firstTokenMs = tookMs;
  else if (!slow)
    upstream.firstTokenMs += (tookMs - meanMs) * FIRST_TOKEN_SMOOTHING_RATIO;
  return slow;
}

function createJob({request, text, tokens}: Generation): Job {
  const {jobId, version, prompt, maxTokens, priority} = request;
  return {
    requestId: jobId,
    version,
    prompt,
    maxTokens,
    priority,
    written: text,
    offset: tokens,
  };
}

/** Runs the job on the acquired upstream, then releases the upstream. */
async function runOnUpstream(
  node: RouterNode,
  generation: Generation,
  acquired: AcquiredUpstream,
  running: RunningRequest,
): Promise<Result<Finish, Failure>> {
  const {context, request} = generation;
  const {signal} = context.abort;
  const {address} = acquired.upstream.spec;
  const startedAt = node.clock();
  let firstTokenMs: number | undefined;
  const onFirstToken = () => {
    firstTokenMs = node.clock() - startedAt;
  };
  const stream = generate(node.engines, address, createJob(generation), signal);
  let result = await forwardTokens(generation, stream, onFirstToken);
  running.broken = result.isErr() && result.error.kind === 'upstream-lost';
  if (result.isErr() && result.error.run !== Run.notRun && !signal.aborted)
    result = await resumeOnUpstream(node, generation, acquired);
  if (result.isErr() && result.error.run !== Run.notRun)
    await cancelJob(node.engines, address, request.jobId);
  const slow =
    firstTokenMs !== undefined && recordFirstToken(acquired, firstTokenMs);
  const outcome = signal.aborted
    ? RequestOutcome.dropped
    : classifyOutcome(result, slow);
  const tookMs = node.clock() - startedAt;
  endRunning(node, acquired.upstream, running, outcome, tookMs);
  if (outcome !== RequestOutcome.dropped) {
    const failed = result.isErr();
    recordOutcome(node, request.version, {failed, firstTokenMs});
  }
  return result;
}

/**
 * Whether another attempt is allowed. A generation that has produced tokens is
 * always continued; any other spends one retry of the budget.
 */
function mayRetry(
  node: RouterNode,
  pool: string,
  generation: Generation,
): boolean {
  if (generation.tokens > 0) return true;
  const {budget, allowed} = spendRetryToken(getRetryBudget(node, pool));
  node.retryBudgets.set(pool, budget);
  return allowed;
}

function withRun(problem: Failure, {attempts}: Generation): Failure {
  return {...problem, run: attempts === 0 ? Run.notRun : Run.unknown};
}

/**
 * One attempt: checks for poison, acquires an engine, runs the job. After a
 * `final` result no further attempt is made.
 */
async function runAttempt(
  node: RouterNode,
  generation: Generation,
): Promise<{final: boolean; result: Result<Finish, Failure>}> {
  const {context, fingerprint} = generation;
  const status = checkPoison(node, fingerprint);
  if (status === PoisonStatus.confirmed)
    return {final: true, result: err(poisonFailure(generation.attempts))};
  const suspect = status === PoisonStatus.suspect;
  const {requestId} = context;
  const running: RunningRequest = {requestId, fingerprint, suspect};
  const acquired = await acquireEngine(node, generation, running);
  if (acquired.isErr()) return {final: true, result: err(acquired.error)};
  const result = await runOnUpstream(node, generation, acquired.value, running);
  if (result.isOk()) {
    if (suspect) reportCleared(node, fingerprint);
    return {final: true, result};
  }
  const {upstream} = acquired.value;
  generation.avoid.add(upstream.name);
  if (result.error.run !== Run.notRun) generation.attempts += 1;
  recordDecision(node, {
    decision: 'retry',
    requestId,
    choice: context.abort.signal.aborted ? 'none' : 'another upstream',
    reason: `${upstream.name}: ${result.error.message}`,
  });
  return {final: context.abort.signal.aborted, result};
}

/**
 * Generates an answer on one version. Each token reaches the sink once and in
 * order, also when several engines produce the answer.
 */
export async function runGeneration(
  node: RouterNode,
  context: Context,
  request: GenerationRequest,
): Promise<Result<GenerationResult, Failure>> {
  const pool = `version:${request.version}`;
  const generation: Generation = {
    context,
    request,
    fingerprint: fingerprintGeneration(request.prompt, request.maxTokens),
    text: '',
    tokens: 0,
    avoid: new Set(),
    attempts: 0,
  };
  node.retryBudgets.set(pool, refillRetryBudget(getRetryBudget(node, pool)));
  let lastFailure = failure(
    'no-upstream',
    'the request was not sent to any upstream',
  );
  for (let attempt = 0; attempt < MAX_ATTEMPT_COUNT; attempt += 1) {
    if (attempt > 0 && !mayRetry(node, pool, generation)) break;
    const {final, result} = await runAttempt(node, generation);
    if (result.isOk()) {
      const {text, tokens} = generation;
      return ok({text, tokens, reason: result.value.reason});
    }
    if (result.error.kind === 'suspected-poison') return err(result.error);
    // A failure on an upstream tells the caller more than a later failure to
    // acquire one.
    if (attempt === 0 || !final) lastFailure = result.error;
    if (final) break;
  }
  return err(withRun(lastFailure, generation));
}
