/** `POST /v1/chat/completions`: choice of a path, generation, bill, answer. */
import {failure, raise, Run, type Failure} from '@parsleyarch/errors/failure';
import {canServe} from '@parsleyarch/policy/balance';
import {
  choosePath,
  type CascadeOption,
  type CascadePath,
} from '@parsleyarch/policy/cascade';
import {
  chooseVersion,
  type NamedVersion,
  type VersionChoice,
} from '@parsleyarch/policy/version';
import {hashUnit} from '@parsleyarch/protocol/rendezvous';
import {find} from '@parsleyarch/resource/configuration';
import type {CustomerSpec} from '@parsleyarch/resource/schema';
import type {ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {openAnswer, type Answering} from './answer.js';
import {recordBill} from './bills.js';
import {customerNow, timeLeft, type Context, type Spent} from './context.js';
import {decide} from './decisions.js';
import {runGeneration, workFingerprint, type Generated} from './generation.js';
import {askRating, countRating, ratingsOf, sampleRating} from './learning.js';
import type {RouterNode} from './node.js';
import {mintToken, resolvePin} from './sessions.js';
import {viewUpstreams} from './upstreams.js';

/** Model name with which a caller leaves the choice to the router. */
const AUTO_MODEL = 'auto';
const AUTO_TARGET = 0.7;
const MAX_TOKENS = 4_096;
const DEFAULT_TOKENS = 256;
/** Expected time of one check by the rating service. */
const CHECK_MS = 100;
const BUCKETS = 100;

const ChatRequest = z.object({
  model: z.string().min(1).max(100),
  messages: z
    .array(z.object({role: z.string(), content: z.string()}))
    .min(1)
    .max(1_000),
  max_tokens: z
    .number()
    .int()
    .positive()
    .max(MAX_TOKENS)
    .default(DEFAULT_TOKENS),
  stream: z.boolean().default(false),
});
export type ChatRequest = z.infer<typeof ChatRequest>;

/** A version that the session would use, with its declaration. */
interface Candidate extends NamedVersion {
  readonly choice: VersionChoice;
}

/** Checks the body of a chat request. */
export function parseChat(body: unknown): Result<ChatRequest, Failure> {
  const parsed = ChatRequest.safeParse(body);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(
    ({path, message}) => `${path.join('.') || 'body'}: ${message}`,
  );
  return raise('invalid-request', problems.join('; '));
}

async function candidateFor(
  node: RouterNode,
  context: Context,
  customer: CustomerSpec,
  model: string,
): Promise<Candidate | undefined> {
  const {session} = context;
  const bucket = hashUnit(`${session.id}/${model}`) * BUCKETS;
  const facts = {bucket, braked: node.braked, pinned: session.pins[model]};
  const choose = (pinned?: string) =>
    chooseVersion(node.configuration, customer, model, {...facts, pinned});
  let choice = choose(facts.pinned);
  if (choice && session.own) {
    const ask = {session: session.id, model, proposed: choice.version};
    const pinned = await resolvePin(node, {...ask, replaces: ''});
    choice = choose(pinned);
    if (choice && choice.version !== pinned) {
      const proposed = choice.version;
      await resolvePin(node, {...ask, proposed, replaces: pinned});
    }
  }
  if (!choice) return undefined;
  const spec = find(node.configuration, 'Version', choice.version)?.spec;
  return spec && {name: choice.version, spec, choice};
}

async function listCandidates(
  node: RouterNode,
  context: Context,
  customer: CustomerSpec,
  model: string,
): Promise<Candidate[]> {
  const models =
    model === AUTO_MODEL
      ? customer.models.map(grant => grant.model)
      : customer.models.map(grant => grant.model).filter(m => m === model);
  const candidates: Candidate[] = [];
  for (const name of models) {
    const candidate = await candidateFor(node, context, customer, name);
    if (candidate) candidates.push(candidate);
  }
  const served = candidates.filter(({name}) => isServed(node, name));
  return served.length > 0 ? served : candidates;
}

/** Whether some upstream could take work on a version now. */
function isServed(node: RouterNode, version: string): boolean {
  return viewUpstreams(node).some(view => canServe(view, {version}));
}

function optionOf(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  {name, spec}: Candidate,
): CascadeOption {
  const tokens = request.max_tokens;
  return {
    version: name,
    cost: tokens * spec.tokenCost,
    answerMs: spec.firstTokenMs + tokens * spec.tokenMs,
    prior: spec.quality[context.taskClass] ?? spec.quality['general'] ?? 0.5,
    ratings: ratingsOf(node, context.taskClass, name),
  };
}

function planPath(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  candidates: readonly Candidate[],
): Result<CascadePath, Failure> {
  const {rater} = node.settings;
  const target =
    context.qualityTarget ?? (request.model === AUTO_MODEL ? AUTO_TARGET : 0);
  const need = {
    target,
    deadlineMs: timeLeft(node, context),
    check: rater && {cost: rater.costMicros, ms: CHECK_MS},
  };
  const options = candidates.map(candidate =>
    optionOf(node, context, request, candidate),
  );
  const chosen = choosePath(options, need, node.random);
  if (!chosen)
    return raise('deadline-too-short', 'no version can answer in time');
  decide(node, {
    decision: 'path',
    requestId: context.requestId,
    customer: context.customer,
    candidates: candidates.map(
      ({name, choice}) => `${name} (${choice.reason})`,
    ),
    choice: [chosen.path.first, chosen.path.second].filter(Boolean).join(' > '),
    reason: chosen.meets ? 'cheapest that meets the target' : 'best there is',
    revision: node.configuration.revision,
    target,
    predicted: chosen.path.quality,
  });
  return ok(chosen.path);
}

/** What a finished generation was made by. */
interface Produced {
  readonly version: string;
  readonly generated: Generated;
}

function promptOf(request: ChatRequest): string {
  return request.messages.map(m => `${m.role}: ${m.content}`).join('\n');
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
    prompt: promptOf(request),
    maxTokens: request.max_tokens,
    version,
    priority: Math.round(customerNow(node, context)?.weight ?? 1),
    async sink(token) {
      context.spent = {version, tokens: token.index + 1};
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
      prompt: promptOf(request),
      answer: first.value.generated.text,
    };
    const rating = await askRating(node, rated, context.abort.signal);
    if (rating !== undefined) countRating(node, rated, rating);
    const passed = rating !== undefined && rating >= path.threshold;
    decide(node, {
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
  {version, tokens}: Spent,
): Promise<void> {
  const spec = find(node.configuration, 'Version', version)?.spec;
  const work = workFingerprint(promptOf(request), request.max_tokens);
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
  const customer = customerNow(node, context);
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
    mintToken(node, answering.session),
  );
  answering.onFirst = () =>
    node.metrics.firstToken.observe(
      {model: request.model},
      (node.clock() - startedAt) / 1_000,
    );
  const produced = await produce(node, context, request, answering);
  if (produced.isErr()) {
    const late = timeLeft(node, context) <= 0;
    const problem = late
      ? failure('deadline-exceeded', 'the deadline passed', {
          run: produced.error.run,
        })
      : produced.error;
    node.metrics.requests.inc({outcome: problem.kind, model: request.model});
    // A caller that left pays for what was generated until then.
    const left = response.destroyed && !late;
    if (left && context.spent)
      await billFor(node, context, request, context.spent);
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
    prompt: promptOf(request),
    answer: generated.text,
  });
}
