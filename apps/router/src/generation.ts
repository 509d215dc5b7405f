/**
 * One generation on one version: taking an engine, passing tokens on, and
 * going on after a break, so that the answer is whole or ends with an error.
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
import {acquire, type Taken} from './acquire.js';
import {customerNow, readiness, timeLeft, type Context} from './context.js';
import {fingerprintOf, judgeFingerprint, reportSurvival} from './crashes.js';
import {recordDecision} from './decisions.js';
import {countOutcome} from './learning.js';
import {getRetryBudget, type RunningRequest, type RouterNode} from './node.js';
import {awaitBreakVerdict, endRunning, Leave} from './upstreams.js';

/** Upstreams that one generation may use. */
const MAX_ATTEMPTS = 4;
const POISON_RETRY_MS = 3_600_000;
/** Factor over the usual first-token time that shows an upstream turned cold. */
const SLOW_FACTOR = 5;
const SLOW_FLOOR_MS = 500;
const FIRST_TOKEN_WEIGHT = 0.1;

/** What is to be generated. */
export interface Work {
  /** Id under which engines know the job. */
  readonly jobId: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly version: string;
  readonly priority: number;
  /** Takes each token once and in order; may keep the next one waiting. */
  readonly sink: (token: Token) => Promise<void>;
}

/** A generation as far as it has come. */
interface Generation {
  readonly context: Context;
  readonly work: Work;
  readonly fingerprint: string;
  text: string;
  tokens: number;
  /** Upstreams that have failed it. */
  readonly avoid: Set<string>;
  /** Tries that may have reached an upstream. */
  tries: number;
}

/** A whole generation. */
export interface Generated {
  readonly text: string;
  readonly tokens: number;
  readonly reason: string;
}

/** Hash of the work that a request asks for, whoever asks. */
export function workFingerprint(prompt: string, maxTokens: number): string {
  return fingerprintOf('generate', prompt, String(maxTokens));
}

function poisoned(tries: number): Failure {
  return failure('suspected-poison', 'this request crashes upstreams', {
    run: tries > 0 ? Run.ran : Run.notRun,
    retryAfterMs: POISON_RETRY_MS,
  });
}

function objectionTo(
  node: RouterNode,
  context: Context,
  version: string,
): Failure | undefined {
  const unready = readiness(node);
  if (unready) return unready;
  const customer = customerNow(node, context);
  if (customer && isVersionAllowed(node.configuration, customer, version))
    return undefined;
  return failure('version-withdrawn', `version ${version} may not serve now`);
}

async function takeEngine(
  node: RouterNode,
  {context, work, avoid}: Generation,
  running: RunningRequest,
): Promise<Result<Taken, Failure>> {
  const order = rankCandidates(context.session.id, [...node.upstreams.keys()]);
  return acquire(node, {
    need: {
      version: work.version,
      failureDomain: node.settings.failureDomain,
      affinity: upstream => -order.indexOf(upstream),
      avoid,
      suspect: running.suspect,
    },
    pool: `version:${work.version}`,
    customer: context.customer,
    weight: customerNow(node, context)?.weight ?? 1,
    running,
    deadlineMs: timeLeft(node, context),
    signal: context.abort.signal,
    objection: () => objectionTo(node, context, work.version),
  });
}

/** Passes tokens on until the stream ends, well or not. */
async function passOn(
  generation: Generation,
  stream: AsyncGenerator<Token, Result<Finish, Failure>>,
  onFirst: () => void,
): Promise<Result<Finish, Failure>> {
  let isFirst = true;
  for (;;) {
    const step = await stream.next();
    if (step.done) return step.value;
    if (isFirst) onFirst();
    isFirst = false;
    generation.text += step.value.text;
    generation.tokens += 1;
    await generation.work.sink(step.value);
  }
}

/** Takes a broken stream up again where the engine still runs the job. */
async function resumeHere(
  node: RouterNode,
  generation: Generation,
  {upstream, incarnation}: Taken,
): Promise<Result<Finish, Failure>> {
  const {context, work, tokens} = generation;
  await awaitBreakVerdict(node, upstream, incarnation);
  if (upstream.incarnation !== incarnation || !upstream.report)
    return err(failure('upstream-lost', 'the upstream is gone'));
  recordDecision(node, {
    decision: 'resume',
    requestId: context.requestId,
    choice: upstream.name,
    reason: `stream broke after ${tokens} tokens`,
  });
  const stream = resumeStream(
    node.engines,
    upstream.spec.address,
    work.jobId,
    tokens,
    context.abort.signal,
  );
  return passOn(generation, stream, () => {});
}

function leaveFor(result: Result<Finish, Failure>, slow: boolean): Leave {
  if (result.isOk()) return slow ? Leave.failed : Leave.done;
  if (result.error.kind === 'upstream-lost') return Leave.lost;
  if (result.error.kind === 'no-upstream') return Leave.dropped;
  return Leave.failed;
}

/** Whether a first token came so late that the upstream must be cold. */
function noteFirstToken({upstream}: Taken, tookMs: number): boolean {
  const usual = upstream.firstTokenMs;
  const slow = usual > 0 && tookMs > usual * SLOW_FACTOR + SLOW_FLOOR_MS;
  if (usual === 0) upstream.firstTokenMs = tookMs;
  else if (!slow)
    upstream.firstTokenMs += (tookMs - usual) * FIRST_TOKEN_WEIGHT;
  return slow;
}

function jobOf({work, text, tokens}: Generation): Job {
  const {jobId, version, prompt, maxTokens, priority} = work;
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

/** Runs the job on the upstream that was taken, and gives the upstream back. */
async function runOn(
  node: RouterNode,
  generation: Generation,
  taken: Taken,
  running: RunningRequest,
): Promise<Result<Finish, Failure>> {
  const {context, work} = generation;
  const {signal} = context.abort;
  const {address} = taken.upstream.spec;
  const startedAt = node.clock();
  let firstTokenMs: number | undefined;
  const onFirst = () => {
    firstTokenMs = node.clock() - startedAt;
  };
  const stream = generate(node.engines, address, jobOf(generation), signal);
  let result = await passOn(generation, stream, onFirst);
  running.broken = result.isErr() && result.error.kind === 'upstream-lost';
  if (result.isErr() && result.error.run !== Run.notRun && !signal.aborted)
    result = await resumeHere(node, generation, taken);
  if (result.isErr() && result.error.run !== Run.notRun)
    await cancelJob(node.engines, address, work.jobId);
  const slow =
    firstTokenMs !== undefined && noteFirstToken(taken, firstTokenMs);
  const leave = signal.aborted ? Leave.dropped : leaveFor(result, slow);
  const tookMs = node.clock() - startedAt;
  endRunning(node, taken.upstream, running, leave, tookMs);
  if (leave !== Leave.dropped) {
    const failed = result.isErr();
    countOutcome(node, work.version, {failed, firstTokenMs});
  }
  return result;
}

/** An answer that has begun is always gone on with; others need the budget. */
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

function withRun(problem: Failure, {tries}: Generation): Failure {
  return {...problem, run: tries === 0 ? Run.notRun : Run.unknown};
}

/** One try: judges the work, takes an engine and runs there. */
async function tryOnce(
  node: RouterNode,
  generation: Generation,
): Promise<{final: boolean; result: Result<Finish, Failure>}> {
  const {context, fingerprint} = generation;
  const verdict = judgeFingerprint(node, fingerprint);
  if (verdict === PoisonStatus.confirmed)
    return {final: true, result: err(poisoned(generation.tries))};
  const suspect = verdict === PoisonStatus.suspect;
  const {requestId} = context;
  const running: RunningRequest = {requestId, fingerprint, suspect};
  const taken = await takeEngine(node, generation, running);
  if (taken.isErr()) return {final: true, result: err(taken.error)};
  const result = await runOn(node, generation, taken.value, running);
  if (result.isOk()) {
    if (suspect) reportSurvival(node, fingerprint);
    return {final: true, result};
  }
  const {upstream} = taken.value;
  generation.avoid.add(upstream.name);
  if (result.error.run !== Run.notRun) generation.tries += 1;
  recordDecision(node, {
    decision: 'retry',
    requestId,
    choice: context.abort.signal.aborted ? 'none' : 'another upstream',
    reason: `${upstream.name}: ${result.error.message}`,
  });
  return {final: context.abort.signal.aborted, result};
}

/**
 * Generates on one version. Each token reaches the sink once and in order,
 * whatever engines it came from.
 */
export async function runGeneration(
  node: RouterNode,
  context: Context,
  work: Work,
): Promise<Result<Generated, Failure>> {
  const pool = `version:${work.version}`;
  const generation: Generation = {
    context,
    work,
    fingerprint: workFingerprint(work.prompt, work.maxTokens),
    text: '',
    tokens: 0,
    avoid: new Set(),
    tries: 0,
  };
  node.retryBudgets.set(pool, refillRetryBudget(getRetryBudget(node, pool)));
  let last = failure('no-upstream', 'no attempt could be made');
  for (let round = 0; round < MAX_ATTEMPTS; round += 1) {
    if (round > 0 && !mayRetry(node, pool, generation)) break;
    const {final, result} = await tryOnce(node, generation);
    if (result.isOk()) {
      const {text, tokens} = generation;
      return ok({text, tokens, reason: result.value.reason});
    }
    if (result.error.kind === 'suspected-poison') return err(result.error);
    // Why an upstream failed says more than that no other was free.
    if (round === 0 || !final) last = result.error;
    if (final) break;
  }
  return err(withRun(last, generation));
}
