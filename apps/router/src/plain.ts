/**
 * Calls to plain services, which run no model: retried when repeatable,
 * otherwise run at most once.
 */
import {failure, raise, Run, type Failure} from '@parsleyarch/errors/failure';
import type {StoredResponse} from '@parsleyarch/protocol/claim';
import {findResource} from '@parsleyarch/resource/configuration';
import type {ServiceSpec} from '@parsleyarch/resource/schema';
import {callService, type ServiceResponse} from '@parsleyarch/upstream/service';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {acquire, type AcquiredUpstream} from './acquire.js';
import {
  acquireClaim,
  releaseClaim,
  storeOutcome,
  type HeldClaim,
} from './claims.js';
import {
  currentCustomer,
  checkReady,
  remainingMs,
  type Context,
} from './context.js';
import {fingerprintOf} from './crashes.js';
import {recordDecision} from './decisions.js';
import type {RunningRequest, RouterNode} from './node.js';
import {readRequestBody} from './replies.js';
import {endRunning, RequestOutcome} from './upstreams.js';

/** Path prefix of the calls to plain services. */
export const SERVICE_PATH_PREFIX = '/services/';
/** Upstreams tried per call, including those to which nothing was sent. */
const MAX_ATTEMPT_COUNT = 3;
/** Largest response body that is stored for retries with the same key. */
const MAX_STORED_BODY_BYTES = 65_536;

/** A call as received from the caller. */
interface ServiceCall {
  readonly service: string;
  readonly spec: ServiceSpec;
  readonly method: string;
  /** Path below the service name, with the query. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly repeatable: boolean;
}

function isRepeatable(spec: ServiceSpec, method: string, path: string) {
  for (const call of spec.calls) {
    if (call.method !== method) continue;
    if (path.startsWith(call.pathPrefix)) return call.repeatable;
  }
  return undefined;
}

/** The service that a URL names, and the path within it. */
interface ServicePath {
  readonly service: string;
  /** Path and query below the service name, with dot segments resolved. */
  readonly path: string;
  /**
   * The path as a service may interpret it: decoded, repeated slashes
   * collapsed.
   */
  readonly normalizedPath: string;
}

function parseServicePath(url: string): Result<ServicePath, Failure> {
  const rest = url.slice(SERVICE_PATH_PREFIX.length);
  const [, service, below] = /^([^/?]*)(.*)$/s.exec(rest) ?? [];
  const path = below.startsWith('/') ? below : `/${below}`;
  try {
    const {pathname, search} = new URL(`http://service${path}`);
    const normalizedPath = decodeURIComponent(pathname).replace(/\/{2,}/g, '/');
    return ok({service, path: pathname + search, normalizedPath});
  } catch {
    return raise('invalid-request', 'the path is not a valid URL path');
  }
}

async function parseCall(
  node: RouterNode,
  context: Context,
  request: IncomingMessage,
): Promise<Result<ServiceCall, Failure>> {
  const target = parseServicePath(request.url ?? '');
  if (target.isErr()) return err(target.error);
  const {service, path} = target.value;
  const spec = findResource(node.configuration, 'Service', service)?.spec;
  if (!spec || !currentCustomer(node, context)?.services.includes(service))
    return raise('forbidden', `service ${service} may not be used`);
  const method = request.method ?? 'GET';
  const repeatable = isRepeatable(spec, method, target.value.normalizedPath);
  if (repeatable === undefined)
    return raise('not-found', `${method} ${path} is not a declared call`);
  if (!repeatable && !context.idempotencyKey) {
    return raise(
      'invalid-header',
      'a call that may not be repeated needs an Idempotency-Key',
    );
  }
  const body = await readRequestBody(request);
  if (body.isErr()) return err(body.error);
  const contentType =
    request.headers['content-type'] ?? 'application/octet-stream';
  return ok({
    service,
    spec,
    method,
    path,
    contentType,
    body: body.value,
    repeatable,
  });
}

function acquireInstance(
  node: RouterNode,
  context: Context,
  call: ServiceCall,
  running: RunningRequest,
  avoid: ReadonlySet<string>,
): Promise<Result<AcquiredUpstream, Failure>> {
  const {service} = call;
  return acquire(node, {
    requirements: {
      service,
      failureDomain: node.settings.failureDomain,
      avoid,
      suspect: false,
    },
    pool: `service:${service}`,
    customer: context.customer,
    weight: currentCustomer(node, context)?.weight ?? 1,
    running,
    deadlineMs: remainingMs(node, context),
    signal: context.abort.signal,
    checkAllowed: () => {
      const unready = checkReady(node);
      if (unready) return unready;
      if (currentCustomer(node, context)?.services.includes(service))
        return undefined;
      return failure('forbidden', `service ${service} may not be used`);
    },
  });
}

function classifyOutcome(
  result: Result<ServiceResponse, Failure>,
): RequestOutcome {
  if (result.isOk()) return RequestOutcome.done;
  if (result.error.run === Run.notRun) return RequestOutcome.dropped;
  return result.error.kind === 'upstream-lost'
    ? RequestOutcome.lost
    : RequestOutcome.failed;
}

async function callInstance(
  node: RouterNode,
  context: Context,
  call: ServiceCall,
  running: RunningRequest,
  acquired: AcquiredUpstream,
): Promise<Result<ServiceResponse, Failure>> {
  const startedAt = node.clock();
  const result = await callService(
    node.services,
    acquired.upstream.spec.address,
    {
      ...call,
      requestId: context.requestId,
      idempotencyKey: context.idempotencyKey,
    },
    context.abort.signal,
  );
  const tookMs = node.clock() - startedAt;
  endRunning(node, acquired.upstream, running, classifyOutcome(result), tookMs);
  return result;
}

/** Whether a failed call may be sent to another instance. */
function isRetryable(call: ServiceCall, problem: Failure): boolean {
  return problem.run === Run.notRun || call.repeatable;
}

/**
 * Sends a call. Retries it only when nothing was sent or the call is
 * repeatable. Calls `claim` once, after the first instance was acquired.
 */
async function callWithRetries(
  node: RouterNode,
  context: Context,
  call: ServiceCall,
  claim: () => Promise<Failure | undefined>,
): Promise<Result<ServiceResponse, Failure>> {
  const avoid = new Set<string>();
  const fingerprint = fingerprintOf('call', call.service, context.requestId);
  const {requestId} = context;
  let lastFailure: Failure | undefined;
  for (let attempt = 0; attempt < MAX_ATTEMPT_COUNT; attempt += 1) {
    const running: RunningRequest = {requestId, fingerprint, suspect: false};
    const acquired = await acquireInstance(node, context, call, running, avoid);
    if (acquired.isErr()) return err(lastFailure ?? acquired.error);
    const refusal = attempt === 0 ? await claim() : undefined;
    if (refusal || context.abort.signal.aborted) {
      endRunning(
        node,
        acquired.value.upstream,
        running,
        RequestOutcome.dropped,
        0,
      );
      const cancelled = failure(
        'deadline-exceeded',
        'the caller disconnected or the deadline passed',
        {
          run: Run.notRun,
        },
      );
      return err(refusal ?? cancelled);
    }
    const result = await callInstance(
      node,
      context,
      call,
      running,
      acquired.value,
    );
    if (result.isOk()) return result;
    const mayHaveRun =
      lastFailure !== undefined && lastFailure.run !== Run.notRun;
    lastFailure = mayHaveRun
      ? {...result.error, run: Run.unknown}
      : result.error;
    if (!isRetryable(call, result.error)) break;
    avoid.add(acquired.value.upstream.name);
  }
  return err(
    lastFailure ??
      failure('no-upstream', 'the request was not sent to any upstream'),
  );
}

function toStoredResponse(answer: ServiceResponse): StoredResponse {
  const {status, contentType, body} = answer;
  if (body.length > MAX_STORED_BODY_BYTES) return {status, contentType};
  return {status, contentType, body: body.toString('base64')};
}

function fromStoredResponse(
  outcome: StoredResponse,
): Result<ServiceResponse, Failure> {
  const {status, contentType, body} = outcome;
  if (body === undefined) {
    return raise(
      'outcome-unknown',
      'the call ran; its response was too large to store',
      {
        run: Run.ran,
      },
    );
  }
  return ok({status, contentType, body: Buffer.from(body, 'base64')});
}

/** Runs a call that is not repeatable, guarded by a claim in the store. */
async function runAtMostOnce(
  node: RouterNode,
  context: Context,
  call: ServiceCall,
  key: string,
): Promise<Result<ServiceResponse, Failure>> {
  const {service, method, path, body} = call;
  const parts = [service, method, path, body.toString('base64')];
  const fingerprint = fingerprintOf('once', ...parts);
  let held: HeldClaim | undefined;
  let earlierResponse: StoredResponse | undefined;
  const claim = async () => {
    const claimed = await acquireClaim(
      node,
      context.customer,
      key,
      fingerprint,
    );
    if (claimed.isErr()) {
      const proceedsUnclaimed =
        call.spec.deduplicates && claimed.error.kind === 'store-unavailable';
      return proceedsUnclaimed ? undefined : claimed.error;
    }
    if ('held' in claimed.value) {
      held = claimed.value.held;
      return undefined;
    }
    earlierResponse = claimed.value.replay;
    return failure('outcome-unknown', 'the call ran before', {run: Run.ran});
  };
  const result = await callWithRetries(node, context, call, claim);
  if (earlierResponse) return fromStoredResponse(earlierResponse);
  if (!held) return result;
  if (result.isOk()) storeOutcome(node, held, toStoredResponse(result.value));
  else if (result.error.run === Run.notRun) await releaseClaim(node, held);
  return result;
}

export async function serveServiceCall(
  node: RouterNode,
  context: Context,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<Failure | undefined> {
  const call = await parseCall(node, context, request);
  if (call.isErr()) return call.error;
  const {service, method, path, repeatable} = call.value;
  const key = context.idempotencyKey;
  const result =
    repeatable || !key
      ? await callWithRetries(node, context, call.value, async () => undefined)
      : await runAtMostOnce(node, context, call.value, key);
  recordDecision(node, {
    decision: 'service',
    requestId: context.requestId,
    customer: context.customer,
    choice: service,
    reason: result.isOk() ? `status ${result.value.status}` : result.error.kind,
    call: `${method} ${path}`,
    repeatable,
  });
  node.metrics.requests.inc({
    outcome: result.isOk() ? 'ok' : result.error.kind,
    model: service,
  });
  if (result.isErr()) return result.error;
  const {status, contentType, body} = result.value;
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': body.length,
    'x-request-id': context.requestId,
  });
  response.end(body);
  return undefined;
}
