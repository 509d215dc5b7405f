/** Which versions a request may take, and the path among them. */
import {raise, type Failure} from '@parsleyarch/errors/failure';
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
import {hashToUnitInterval} from '@parsleyarch/protocol/rendezvous';
import {findResource} from '@parsleyarch/resource/configuration';
import type {CustomerSpec} from '@parsleyarch/resource/schema';
import {ok, type Result} from 'neverthrow';
import {timeLeft, type Context} from './context.js';
import {recordDecision} from './decisions.js';
import {ratingsOf} from './learning.js';
import type {RouterNode} from './node.js';
import type {ChatRequest} from './request.js';
import {resolvePin} from './sessions.js';
import {viewUpstreams} from './upstreams.js';

/** Model name with which a caller leaves the choice to the router. */
const AUTO_MODEL = 'auto';
const AUTO_TARGET = 0.7;
/** Expected time of one check by the rating service. */
const CHECK_MS = 100;
const BUCKETS = 100;

/** A version that the session would use, with its declaration. */
export interface Candidate extends NamedVersion {
  readonly choice: VersionChoice;
}

async function candidateFor(
  node: RouterNode,
  context: Context,
  customer: CustomerSpec,
  model: string,
): Promise<Candidate | undefined> {
  const {session} = context;
  const bucket = hashToUnitInterval(`${session.id}/${model}`) * BUCKETS;
  const facts = {bucket, suspended: node.braked, pinned: session.pins[model]};
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
  const spec = findResource(
    node.configuration,
    'Version',
    choice.version,
  )?.spec;
  return spec && {name: choice.version, spec, choice};
}

/** The version of each model that the customer may use in this session. */
export async function listCandidates(
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

/** Chooses the path, and logs what it was chosen from. */
export function planPath(
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
  recordDecision(node, {
    decision: 'path',
    requestId: context.requestId,
    customer: context.customer,
    candidates: candidates.map(
      ({name, choice}) => `${name} (${choice.reason})`,
    ),
    choice: [chosen.path.first, chosen.path.second].filter(Boolean).join(' > '),
    reason: chosen.meetsTarget
      ? 'cheapest that meets the target'
      : 'best there is',
    revision: node.configuration.revision,
    target,
    predicted: chosen.path.quality,
  });
  return ok(chosen.path);
}
