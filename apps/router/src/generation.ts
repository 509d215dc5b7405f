/**
 * One generation on one version: taking an engine, passing tokens on, and
 * going on after a break, so that the answer is whole or ends with an error.
 */
import {failure, Run, type Failure} from '@parsleyarch/errors/failure';
import {earnRetry, takeRetry} from '@parsleyarch/policy/admission';
import {isAllowed} from '@parsleyarch/policy/version';
import {rank} from '@parsleyarch/protocol/rendezvous';
import {
  cancel,
  generate,
  resume,
  type Finish,
  type Token,
} from '@parsleyarch/upstream/engine';
import {err, ok, type Result} from 'neverthrow';
import {acquire, type Taken} from './acquire.js';
import {customerNow, readiness, timeLeft, type Context} from './context.js';
import {fingerprintOf, judgeFingerprint, reportSurvival} from './crashes.js';
import {decide} from './decisions.js';
import {countOutcome} from './learning.js';
import {retriesOf, type Running, type RouterNode} from './node.js';
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
  readonly prompt: string;
  readonly maxTokens: number;
  readonly version: string;
  readonly priority: number;
}

/** A generation as far as it has come. */
interface Progress {
  readonly jobId: string;
  text: string;
  tokens: number;
  readonly avoid: Set<string>;
  attempts: number;
}

/** A whole generation. */
export interface Generated {
  readonly text: string;
  readonly tokens: number;
  readonly reason: string;
}

type Sink = (token: Token) => Promise<void>;

/** Hash of the work that a request asks for, whoever asks. */
export function workFingerprint(prompt: string, maxTokens: number): string {
  return fingerprintOf('generate', prompt, String(maxTokens));
}

function poisoned(attempts: number): Failure {
  return failure('suspected-poison', 'this request crashes upstreams', {
    run: attempts > 0 ? Run.ran : Run.notRun,
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
  if (customer && isAllowed(node.configuration, customer, version))
    return undefined;
  return failure('version-withdrawn', `version ${version} may not serve now`);
}

async function takeEngine(
  node: RouterNode,
  context: Context,
  work: Work,
  running: Running,
  progress: Progress,
): Promise<Result<Taken, Failure>> {
  const order = rank(context.session.id, [...node.upstreams.keys()]);
  const need = {
    version: work.version,
    failureDomain: node.settings.failureDomain,
    affinity: (upstream: string) => -order.indexOf(upstream),
    avoid: progress.avoid,
    suspect: running.suspect,
  };
  return acquire(node, {
    need,
    pool: `version:${work.version}`,
    customer: context.customer,
    weight: customerNow(node, context)?.weight ?? 1,
    running,
    deadlineMs: timeLeft(node, context),
    signal: context.abort.signal,
    objection: () => objectionTo(node, context, work.version),
  });
}

async function passOn(
  stream: AsyncGenerator<Token, Result<Finish, Failure>>,
  progress: Progress,
  sink: Sink,
  onFirst: () => void,
): Promise<Result<Finish, Failure>> {
  for (;;) {
    const step = await stream.next();
    if (step.done) return step.value;
    if (progress.tokens === 0) onFirst();
    progress.text += step.value.text;
    progress.tokens += 1;
    await sink(step.value);
  }
}

/** Takes a broken stream up again where the engine still runs the job. */
async function resumeHere(
  node: RouterNode,
  context: Context,
  taken: Taken,
  progress: Progress,
  sink: Sink,
): Promise<Result<Finish, Failure>> {
  const {upstream, incarnation} = taken;
  await awaitBreakVerdict(node, upstream, incarnation);
  if (upstream.incarnation !== incarnation || !upstream.report)
    return err(failure('upstream-lost', 'the upstream is gone'));
  decide(node, {
    decision: 'resume',
    requestId: context.requestId,
    choice: upstream.name,
    reason: `stream broke after ${progress.tokens} tokens`,
  });
  const stream = resume(
    node.engines,
    upstream.spec.address,
    progress.jobId,
    progress.tokens,
    context.abort.signal,
  );
  return passOn(stream, progress, sink, () => {});
}

function leaveFor(result: Result<Finish, Failure>, slow: boolean): Leave {
  if (result.isOk()) return slow ? Leave.failed : Leave.done;
  if (result.error.kind === 'upstream-lost') return Leave.lost;
  if (result.error.kind === 'no-upstream') return Leave.dropped;
  return Leave.failed;
}

/** Whether a first token came so late that the upstream must be cold. */
function noteFirstToken(taken: Taken, tookMs: number): boolean {
  const {upstream} = taken;
  const usual = upstream.firstTokenMs;
  const slow = usual > 0 && tookMs > usual * SLOW_FACTOR + SLOW_FLOOR_MS;
  if (usual === 0) upstream.firstTokenMs = tookMs;
  else if (!slow)
    upstream.firstTokenMs += (tookMs - usual) * FIRST_TOKEN_WEIGHT;
  return slow;
}

async function attempt(
  node: RouterNode,
  context: Context,
  work: Work,
  running: Running,
  taken: Taken,
  progress: Progress,
  sink: Sink,
): Promise<Result<Finish, Failure>> {
  const startedAt = node.clock();
  let slow = false;
  const onFirst = () => {
    slow = noteFirstToken(taken, node.clock() - startedAt);
  };
  const job = {
    requestId: progress.jobId,
    version: work.version,
    prompt: work.prompt,
    maxTokens: work.maxTokens,
    priority: work.priority,
    written: progress.text,
    offset: progress.tokens,
  };
  const {signal} = context.abort;
  const {address} = taken.upstream.spec;
  const stream = generate(node.engines, address, job, signal);
  let result = await passOn(stream, progress, sink, onFirst);
  running.broken = result.isErr() && result.error.kind === 'upstream-lost';
  if (result.isErr() && result.error.run !== Run.notRun && !signal.aborted)
    result = await resumeHere(node, context, taken, progress, sink);
  const leave = signal.aborted ? Leave.dropped : leaveFor(result, slow);
  if (result.isErr() && result.error.run !== Run.notRun)
    await cancel(node.engines, address, progress.jobId);
  const tookMs = node.clock() - startedAt;
  endRunning(node, taken.upstream, running, leave, tookMs);
  countOutcome(node, work.version, {
    failed: leave === Leave.lost || leave === Leave.failed,
    firstTokenMs: tookMs,
  });
  return result;
}

/** An answer that has begun is always gone on with; others need the budget. */
function mayRetry(node: RouterNode, pool: string, progress: Progress): boolean {
  if (progress.tokens > 0) return true;
  const {budget, allowed} = takeRetry(retriesOf(node, pool));
  node.retries.set(pool, budget);
  return allowed;
}

function withRun(problem: Failure, progress: Progress): Failure {
  if (progress.attempts === 0) return {...problem, run: Run.notRun};
  return {...problem, run: Run.unknown};
}

/**
 * Generates on one version. Each token reaches the sink once and in order,
 * whatever engines it came from.
 */
export async function runGeneration(
  node: RouterNode,
  context: Context,
  work: Work,
  jobId: string,
  sink: Sink,
): Promise<Result<Generated, Failure>> {
  const pool = `version:${work.version}`;
  const fingerprint = workFingerprint(work.prompt, work.maxTokens);
  const progress: Progress = {
    jobId,
    text: '',
    tokens: 0,
    avoid: new Set(),
    attempts: 0,
  };
  node.retries.set(pool, earnRetry(retriesOf(node, pool)));
  let last: Failure | undefined;
  for (let round = 0; round < MAX_ATTEMPTS; round += 1) {
    const verdict = judgeFingerprint(node, fingerprint);
    if (verdict === 'refuse') return err(poisoned(progress.attempts));
    if (round > 0 && !mayRetry(node, pool, progress)) break;
    const suspect = verdict === 'suspect';
    const {requestId} = context;
    const running: Running = {requestId, fingerprint, suspect};
    const taken = await takeEngine(node, context, work, running, progress);
    if (taken.isErr()) return err(withRun(last ?? taken.error, progress));
    const result = await attempt(
      node,
      context,
      work,
      running,
      taken.value,
      progress,
      sink,
    );
    if (result.isOk()) {
      if (suspect) reportSurvival(node, fingerprint);
      const {text, tokens} = progress;
      return ok({text, tokens, reason: result.value.reason});
    }
    last = result.error;
    if (last.run !== Run.notRun) progress.attempts += 1;
    if (context.abort.signal.aborted) break;
    progress.avoid.add(taken.value.upstream.name);
    decide(node, {
      decision: 'retry',
      requestId,
      choice: 'another upstream',
      reason: `${taken.value.upstream.name}: ${last.message}`,
    });
  }
  const problem = last ?? failure('no-upstream', 'no attempt could be made');
  return err(withRun(problem, progress));
}
