/**
 * Serves `POST /v1/chat/completions`: plans the path over versions, generates,
 * records the bill and sends the response.
 */
import {failure, raise, Run, type Failure} from '@parsleyarch/errors/failure';
import type {CascadePath} from '@parsleyarch/policy/cascade';
import {findResource} from '@parsleyarch/resource/configuration';
import type {ServerResponse} from 'node:http';
import {err, type Result} from 'neverthrow';
import {createResponseWriter, type ResponseWriter} from './answer.js';
import {recordBill} from './bills.js';
import {
  currentCustomer,
  remainingMs,
  type Context,
  type TokenUsage,
} from './context.js';
import {recordDecision} from './decisions.js';
import {
  runGeneration,
  fingerprintGeneration,
  type GenerationResult,
} from './generation.js';
import {requestRating, recordRating, sampleRating} from './learning.js';
import type {RouterNode} from './node.js';
import {listCandidates, planPath} from './path.js';
import {buildPrompt, type ChatRequest} from './request.js';
import {signToken} from './sessions.js';

/** A finished generation and the version that produced it. */
interface Completion {
  readonly version: string;
  readonly generated: GenerationResult;
}

async function runVersion(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  version: string,
  sink: (text: string) => Promise<void>,
): Promise<Result<Completion, Failure>> {
  const generated = await runGeneration(node, context, {
    jobId: `${context.requestId}/${version}`,
    prompt: buildPrompt(request),
    maxTokens: request.max_tokens,
    version,
    priority: Math.round(currentCustomer(node, context)?.weight ?? 1),
    async sink(token) {
      context.usage = {version, tokens: token.index + 1};
      await sink(token.text);
    },
  });
  return generated.map(value => ({version, generated: value}));
}

/**
 * Runs the first version without sending its text. If its rating reaches the
 * threshold, that text is sent; otherwise the second version runs.
 */
async function runCascade(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  path: CascadePath,
  second: string,
  writer: ResponseWriter,
): Promise<Result<Completion, Failure>> {
  const first = await runVersion(
    node,
    context,
    request,
    path.first,
    async () => {},
  );
  if (first.isOk()) {
    const ratingInput = {
      taskClass: context.taskClass,
      version: path.first,
      prompt: buildPrompt(request),
      answer: first.value.generated.text,
    };
    const rating = await requestRating(node, ratingInput, context.abort.signal);
    if (rating !== undefined) recordRating(node, ratingInput, rating);
    const passed = rating !== undefined && rating >= path.threshold;
    recordDecision(node, {
      decision: 'cascade-check',
      requestId: context.requestId,
      candidates: [path.first, second],
      choice: passed ? path.first : second,
      reason: rating === undefined ? 'no rating received' : `rated ${rating}`,
    });
    if (passed) {
      await writer.write(path.first, first.value.generated.text);
      return first;
    }
  }
  const last = await runVersion(node, context, request, second, text =>
    writer.write(second, text),
  );
  const ran = first.isOk() ? Run.ran : first.error.run;
  return last.mapErr(problem => withEarlierRun(problem, ran));
}

/**
 * Keeps the error of the second version from reporting "not run" after the
 * first version has run.
 */
function withEarlierRun(problem: Failure, earlier: Run): Failure {
  if (problem.run !== Run.notRun) return problem;
  return {...problem, run: earlier};
}

async function billGeneration(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  {version, tokens}: TokenUsage,
): Promise<void> {
  const spec = findResource(node.configuration, 'Version', version)?.spec;
  const fingerprint = fingerprintGeneration(
    buildPrompt(request),
    request.max_tokens,
  );
  const key = context.idempotencyKey;
  await recordBill(node, {
    customer: context.customer,
    // Retries with the same key and input get the same id, so that they are
    // billed once.
    requestId: key ? `${key}/${fingerprint}` : context.requestId,
    model: spec?.model ?? request.model,
    version,
    tokens,
    cost: tokens * (spec?.tokenCost ?? 0),
  });
}

async function generateCompletion(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  writer: ResponseWriter,
): Promise<Result<Completion, Failure>> {
  const customer = currentCustomer(node, context);
  if (!customer) return raise('unauthenticated', 'the customer was deleted');
  const candidates = await listCandidates(
    node,
    context,
    customer,
    request.model,
  );
  if (candidates.length === 0)
    return raise('model-not-allowed', `${request.model} may not be used`);
  const path = planPath(node, context, request, candidates);
  if (path.isErr()) return err(path.error);
  const {first, second} = path.value;
  // Later requests of the session choose the pinned version of each model, also
  // of a model that is not on this path.
  for (const {name, spec} of candidates) {
    const pins = {...writer.session.pins, [spec.model]: name};
    writer.session = {...writer.session, pins};
  }
  if (second)
    return runCascade(node, context, request, path.value, second, writer);
  return runVersion(node, context, request, first, text =>
    writer.write(first, text),
  );
}

export async function serveChat(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  response: ServerResponse,
): Promise<void> {
  const startedAt = node.clock();
  const writer = createResponseWriter(
    node,
    context,
    request.stream,
    response,
    () => signToken(node, writer.session),
  );
  writer.onFirstText = () =>
    node.metrics.firstTokenSeconds.observe(
      {model: request.model},
      (node.clock() - startedAt) / 1_000,
    );
  const completion = await generateCompletion(node, context, request, writer);
  if (completion.isErr()) {
    const deadlinePassed = remainingMs(node, context) <= 0;
    const problem = deadlinePassed
      ? failure('deadline-exceeded', 'the deadline passed', {
          run: completion.error.run,
        })
      : completion.error;
    node.metrics.requests.inc({outcome: problem.kind, model: request.model});
    // A caller that disconnects is billed for the tokens generated until then.
    const callerDisconnected = response.destroyed && !deadlinePassed;
    if (callerDisconnected && context.usage)
      await billGeneration(node, context, request, context.usage);
    writer.fail(problem);
    return;
  }
  const {version, generated} = completion.value;
  await billGeneration(node, context, request, {
    version,
    tokens: generated.tokens,
  });
  node.metrics.requests.inc({outcome: 'ok', model: request.model});
  node.metrics.tokens.inc({version}, generated.tokens);
  await writer.finish(version, generated);
  void sampleRating(node, {
    taskClass: context.taskClass,
    version,
    prompt: buildPrompt(request),
    answer: generated.text,
  });
}
