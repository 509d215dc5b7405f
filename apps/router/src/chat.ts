/** `POST /v1/chat/completions`: generation along a path, bill, answer. */
import {failure, raise, Run, type Failure} from '@parsleyarch/errors/failure';
import type {CascadePath} from '@parsleyarch/policy/cascade';
import {findResource} from '@parsleyarch/resource/configuration';
import type {ServerResponse} from 'node:http';
import {err, type Result} from 'neverthrow';
import {openAnswer, type Answering} from './answer.js';
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

/** What a finished generation was made by. */
interface Produced {
  readonly version: string;
  readonly generated: GenerationResult;
}

async function runVersion(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  version: string,
  sink: (text: string) => Promise<void>,
): Promise<Result<Produced, Failure>> {
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

/** Runs the first version unseen; its answer is given only if it passes. */
async function runCascade(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  path: CascadePath,
  second: string,
  answering: Answering,
): Promise<Result<Produced, Failure>> {
  const first = await runVersion(
    node,
    context,
    request,
    path.first,
    async () => {},
  );
  if (first.isOk()) {
    const rated = {
      taskClass: context.taskClass,
      version: path.first,
      prompt: buildPrompt(request),
      answer: first.value.generated.text,
    };
    const rating = await requestRating(node, rated, context.abort.signal);
    if (rating !== undefined) recordRating(node, rated, rating);
    const passed = rating !== undefined && rating >= path.threshold;
    recordDecision(node, {
      decision: 'cascade-check',
      requestId: context.requestId,
      candidates: [path.first, second],
      choice: passed ? path.first : second,
      reason: rating === undefined ? 'no rating came' : `rated ${rating}`,
    });
    if (passed) {
      await answering.write(path.first, first.value.generated.text);
      return first;
    }
  }
  const last = await runVersion(node, context, request, second, text =>
    answering.write(second, text),
  );
  const ran = first.isOk() ? Run.ran : first.error.run;
  return last.mapErr(problem => withEarlierRun(problem, ran));
}

/** A refusal by the second version is no "not run" once the first has run. */
function withEarlierRun(problem: Failure, earlier: Run): Failure {
  if (problem.run !== Run.notRun) return problem;
  return {...problem, run: earlier};
}

async function billFor(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  {version, tokens}: TokenUsage,
): Promise<void> {
  const spec = findResource(node.configuration, 'Version', version)?.spec;
  const work = fingerprintGeneration(buildPrompt(request), request.max_tokens);
  const key = context.idempotencyKey;
  await recordBill(node, {
    customer: context.customer,
    requestId: key ? `${key}/${work}` : context.requestId,
    model: spec?.model ?? request.model,
    version,
    tokens,
    cost: tokens * (spec?.tokenCost ?? 0),
  });
}

async function produce(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  answering: Answering,
): Promise<Result<Produced, Failure>> {
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
  for (const {name, spec} of candidates) {
    const pins = {...answering.session.pins, [spec.model]: name};
    answering.session = {...answering.session, pins};
  }
  if (second)
    return runCascade(node, context, request, path.value, second, answering);
  return runVersion(node, context, request, first, text =>
    answering.write(first, text),
  );
}

/** Serves one chat request to its end. */
export async function serveChat(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  response: ServerResponse,
): Promise<void> {
  const startedAt = node.clock();
  const answering = openAnswer(node, context, request.stream, response, () =>
    signToken(node, answering.session),
  );
  answering.onFirst = () =>
    node.metrics.firstTokenSeconds.observe(
      {model: request.model},
      (node.clock() - startedAt) / 1_000,
    );
  const produced = await produce(node, context, request, answering);
  if (produced.isErr()) {
    const late = remainingMs(node, context) <= 0;
    const problem = late
      ? failure('deadline-exceeded', 'the deadline passed', {
          run: produced.error.run,
        })
      : produced.error;
    node.metrics.requests.inc({outcome: problem.kind, model: request.model});
    // A caller that left pays for what was generated until then.
    const left = response.destroyed && !late;
    if (left && context.usage)
      await billFor(node, context, request, context.usage);
    answering.fail(problem);
    return;
  }
  const {version, generated} = produced.value;
  await billFor(node, context, request, {version, tokens: generated.tokens});
  node.metrics.requests.inc({outcome: 'ok', model: request.model});
  node.metrics.tokens.inc({version}, generated.tokens);
  await answering.finish(version, generated);
  void sampleRating(node, {
    taskClass: context.taskClass,
    version,
    prompt: buildPrompt(request),
    answer: generated.text,
  });
}
