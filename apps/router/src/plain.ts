/** Calls to plain services, repeatable or not. */
import {failure, raise, Run, type Failure} from '@parsleyarch/errors/failure';
import type {StoredResponse} from '@parsleyarch/protocol/claim';
import {findResource} from '@parsleyarch/resource/configuration';
import type {ServiceSpec} from '@parsleyarch/resource/schema';
import {callService, type ServiceResponse} from '@parsleyarch/upstream/service';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {err, ok, type Result} from 'neverthrow';
import {acquire, type Taken} from './acquire.js';
import {
  claimOnce,
  releaseClaim,
  storeOutcome,
  type HeldClaim,
} from './claims.js';
import {customerNow, readiness, timeLeft, type Context} from './context.js';
import {fingerprintOf} from './crashes.js';
import {decide} from './decisions.js';
import type {Running, RouterNode} from './node.js';
import {readRequestBody} from './replies.js';
import {endRunning, Leave} from './upstreams.js';

/** Path below which plain services stand. */
export const SERVICE_PREFIX = '/services/';
/** Upstreams that one call may try, repeats of unsent calls included. */
const MAX_ATTEMPTS = 3;
/** Largest answer that is kept for repeats of the key. */
const MAX_KEPT_BYTES = 65_536;

/** A call as the caller made it. */
interface PlainCall {
  readonly service: string;
  readonly spec: ServiceSpec;
  readonly method: string;
  /** Path below the service, with the query. */
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

/** Where a call goes. */
interface Target {
  readonly service: string;
  /** Path and query below the service, dot segments resolved. */
  readonly path: string;
  /** The path as a service may read it: decoded, without doubled slashes. */
  readonly plainPath: string;
}

function parseTarget(url: string): Result<Target, Failure> {
  const rest = url.slice(SERVICE_PREFIX.length);
  const [, service, below] = /^([^/?]*)(.*)$/s.exec(rest) ?? [];
  const path = below.startsWith('/') ? below : `/${below}`;
  try {
    const {pathname, search} = new URL(`http://service${path}`);
    const plainPath = decodeURIComponent(pathname).replace(/\/{2,}/g, '/');
    return ok({service, path: pathname + search, plainPath});
  } catch {
    return raise('invalid-request', 'the path cannot be read');
  }
}

async function parseCall(
  node: RouterNode,
  context: Context,
  request: IncomingMessage,
): Promise<Result<PlainCall, Failure>> {
  const target = parseTarget(request.url ?? '');
  if (target.isErr()) return err(target.error);
  const {service, path} = target.value;
  const spec = findResource(node.configuration, 'Service', service)?.spec;
  if (!spec || !customerNow(node, context)?.services.includes(service))
    return raise('forbidden', `service ${service} may not be used`);
  const method = request.method ?? 'GET';
  const repeatable = isRepeatable(spec, method, target.value.plainPath);
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

function takeInstance(
  node: RouterNode,
  context: Context,
  call: PlainCall,
  running: Running,
  avoid: ReadonlySet<string>,
): Promise<Result<Taken, Failure>> {
  const {service} = call;
  return acquire(node, {
    need: {
      service,
      failureDomain: node.settings.failureDomain,
      avoid,
      suspect: false,
    },
    pool: `service:${service}`,
    customer: context.customer,
    weight: customerNow(node, context)?.weight ?? 1,
    running,
    deadlineMs: timeLeft(node, context),
    signal: context.abort.signal,
    objection: () => {
      const unready = readiness(node);
      if (unready) return unready;
      if (customerNow(node, context)?.services.includes(service))
        return undefined;
      return failure('forbidden', `service ${service} may not be used`);
    },
  });
}

function leaveFor(result: Result<ServiceResponse, Failure>): Leave {
  if (result.isOk()) return Leave.done;
  if (result.error.run === Run.notRun) return Leave.dropped;
  return result.error.kind === 'upstream-lost' ? Leave.lost : Leave.failed;
}

async function callOn(
  node: RouterNode,
  context: Context,
  call: PlainCall,
  running: Running,
  taken: Taken,
): Promise<Result<ServiceResponse, Failure>> {
  const startedAt = node.clock();
  const result = await callService(
    node.services,
    taken.upstream.spec.address,
    {
      ...call,
      requestId: context.requestId,
      idempotencyKey: context.idempotencyKey,
    },
    context.abort.signal,
  );
  const tookMs = node.clock() - startedAt;
  endRunning(node, taken.upstream, running, leaveFor(result), tookMs);
  return result;
}

/** Whether a call that failed may be sent to another instance. */
function mayRepeat(call: PlainCall, problem: Failure): boolean {
  return problem.run === Run.notRun || call.repeatable;
}

/**
 * Sends a call. It is sent again only when it never left, or when it may be
 * repeated. `claim` is asked for once, after an instance was taken.
 */
async function runCall(
  node: RouterNode,
  context: Context,
  call: PlainCall,
  claim: () => Promise<Failure | undefined>,
): Promise<Result<ServiceResponse, Failure>> {
  const avoid = new Set<string>();
  const fingerprint = fingerprintOf('call', call.service, context.requestId);
  const {requestId} = context;
  let last: Failure | undefined;
  for (let round = 0; round < MAX_ATTEMPTS; round += 1) {
    const running: Running = {requestId, fingerprint, suspect: false};
    const taken = await takeInstance(node, context, call, running, avoid);
    if (taken.isErr()) return err(last ?? taken.error);
    const refusal = round === 0 ? await claim() : undefined;
    if (refusal || context.abort.signal.aborted) {
      endRunning(node, taken.value.upstream, running, Leave.dropped, 0);
      const gone = failure('deadline-exceeded', 'the caller is gone', {
        run: Run.notRun,
      });
      return err(refusal ?? gone);
    }
    const result = await callOn(node, context, call, running, taken.value);
    if (result.isOk()) return result;
    const broke = last !== undefined && last.run !== Run.notRun;
    last = broke ? {...result.error, run: Run.unknown} : result.error;
    if (!mayRepeat(call, result.error)) break;
    avoid.add(taken.value.upstream.name);
  }
  return err(last ?? failure('no-upstream', 'no attempt could be made'));
}

function keep(answer: ServiceResponse): StoredResponse {
  const {status, contentType, body} = answer;
  if (body.length > MAX_KEPT_BYTES) return {status, contentType};
  return {status, contentType, body: body.toString('base64')};
}

function replay(outcome: StoredResponse): Result<ServiceResponse, Failure> {
  const {status, contentType, body} = outcome;
  if (body === undefined) {
    return raise('outcome-unknown', 'the call ran; its answer was not kept', {
      run: Run.ran,
    });
  }
  return ok({status, contentType, body: Buffer.from(body, 'base64')});
}

/** Runs a call that may not be repeated, under a claim in the store. */
async function runOnce(
  node: RouterNode,
  context: Context,
  call: PlainCall,
  key: string,
): Promise<Result<ServiceResponse, Failure>> {
  const {service, method, path, body} = call;
  const parts = [service, method, path, body.toString('base64')];
  const fingerprint = fingerprintOf('once', ...parts);
  let held: HeldClaim | undefined;
  let earlier: StoredResponse | undefined;
  const claim = async () => {
    const claimed = await claimOnce(node, context.customer, key, fingerprint);
    if (claimed.isErr()) {
      const passes =
        call.spec.deduplicates && claimed.error.kind === 'store-unavailable';
      return passes ? undefined : claimed.error;
    }
    if ('held' in claimed.value) {
      held = claimed.value.held;
      return undefined;
    }
    earlier = claimed.value.replay;
    return failure('outcome-unknown', 'the call ran before', {run: Run.ran});
  };
  const result = await runCall(node, context, call, claim);
  if (earlier) return replay(earlier);
  if (!held) return result;
  if (result.isOk()) storeOutcome(node, held, keep(result.value));
  else if (result.error.run === Run.notRun) await releaseClaim(node, held);
  return result;
}

/** Serves one call to a plain service. */
export async function servePlain(
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
      ? await runCall(node, context, call.value, async () => undefined)
      : await runOnce(node, context, call.value, key);
  decide(node, {
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
