/** Lists the versions that a request may use, and chooses its cascade path. */
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
import {remainingMs, type Context} from './context.js';
import {recordDecision} from './decisions.js';
import {ratingsOf} from './learning.js';
import type {RouterNode} from './node.js';
import type {ChatRequest} from './request.js';
import {resolvePin} from './sessions.js';
import {viewUpstreams} from './upstreams.js';

/** Model name that lets the router choose the model. */
const AUTO_MODEL = 'auto';
const AUTO_QUALITY_TARGET = 0.7;
/** Expected duration of a cascade check by the rating service. */
const EXPECTED_CHECK_MS = 100;
/**
 * Upper bound of a session's bucket, a real number in [0, 100) that is compared
 * with the percentage of a roll-out.
 */
const SESSION_BUCKET_COUNT = 100;

/** A version that the session would use, with its spec. */
export interface Candidate extends NamedVersion {
  readonly choice: VersionChoice;
}

async function findCandidate(
  node: RouterNode,
  context: Context,
  customer: CustomerSpec,
  model: string,
): Promise<Candidate | undefined> {
  const {session} = context;
  const bucket =
    hashToUnitInterval(`${session.id}/${model}`) * SESSION_BUCKET_COUNT;
  const sessionContext = {
    bucket,
    suspended: node.suspended,
    pinned: session.pins[model],
  };
  const choose = (pinned?: string) =>
    chooseVersion(node.configuration, customer, model, {
      ...sessionContext,
      pinned,
    });
  let choice = choose(sessionContext.pinned);
  if (choice && session.hasCallerId) {
    const pinRequest = {session: session.id, model, proposed: choice.version};
    const pinned = await resolvePin(node, {...pinRequest, replaces: ''});
    choice = choose(pinned);
    // The pinned version cannot be used any more, so the pin is replaced.
    if (choice && choice.version !== pinned) {
      const proposed = choice.version;
      await resolvePin(node, {...pinRequest, proposed, replaces: pinned});
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

/**
 * Lists the version of each model that the customer may use in this session.
 * If some of them are served now, lists only those.
 */
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
    const candidate = await findCandidate(node, context, customer, name);
    if (candidate) candidates.push(candidate);
  }
  const served = candidates.filter(({name}) => isServed(node, name));
  return served.length > 0 ? served : candidates;
}

/** Whether some upstream can serve a version now, regardless of credits. */
function isServed(node: RouterNode, version: string): boolean {
  return viewUpstreams(node).some(view => canServe(view, {version}));
}

function createOption(
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

/** Chooses the cascade path and logs the decision with its candidates. */
export function planPath(
  node: RouterNode,
  context: Context,
  request: ChatRequest,
  candidates: readonly Candidate[],
): Result<CascadePath, Failure> {
  const {rater} = node.settings;
  const target =
    context.qualityTarget ??
    (request.model === AUTO_MODEL ? AUTO_QUALITY_TARGET : 0);
  const requirements = {
    target,
    deadlineMs: remainingMs(node, context),
    check: rater && {cost: rater.costMicros, ms: EXPECTED_CHECK_MS},
  };
  const options = candidates.map(candidate =>
    createOption(node, context, request, candidate),
  );
  const chosen = choosePath(options, requirements, node.random);
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
    // The first reason is also logged for an `explored` path, which is chosen to
    // collect ratings.
    reason: chosen.meetsTarget
      ? 'cheapest that meets the target'
      : 'highest predicted quality',
    revision: node.configuration.revision,
    target,
    predicted: chosen.path.quality,
  });
  return ok(chosen.path);
}
