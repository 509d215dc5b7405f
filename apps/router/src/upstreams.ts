/** State of the upstreams: specs, load reports, running requests, restarts. */
import {wait} from '@parsleyarch/lifecycle/process';
import type {UpstreamView} from '@parsleyarch/policy/balance';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import type {UpstreamSpec} from '@parsleyarch/resource/schema';
import {
  watchLoadReports,
  type EngineReport,
} from '@parsleyarch/upstream/engine';
import {reportCrash} from './crashes.js';
import type {RunningRequest, RouterNode, UpstreamState} from './node.js';

const REPORT_RECONNECT_DELAY_MS = 150;
/** Time for which a request with a broken connection may belong to a crash. */
const LOST_REQUEST_RETENTION_MS = 3_000;
/** Longest wait of a broken request for a sign that its upstream restarted. */
const RESTART_DETECTION_TIMEOUT_MS = 600;
/** Weight of the newest request in the mean service time. */
const SERVICE_TIME_SMOOTHING_RATIO = 0.1;
const INITIAL_SERVICE_MS = 300;

function createUpstream(
  name: string,
  spec: UpstreamSpec,
  declaredAt: number,
): UpstreamState {
  return {
    name,
    spec,
    declaredAt,
    incarnation: 0,
    running: new Map(),
    brokenRequests: [],
    succeeded: 0,
    failed: false,
    lastUsedAt: -Infinity,
    serviceMs: INITIAL_SERVICE_MS,
    firstTokenMs: 0,
    abortController: new AbortController(),
    watchers: new Set(),
  };
}

function wakeWatchers(upstream: UpstreamState): void {
  for (const wake of upstream.watchers) wake();
  upstream.watchers.clear();
}

function applyReport(
  node: RouterNode,
  upstream: UpstreamState,
  report: EngineReport,
): void {
  const known = upstream.incarnation;
  upstream.report = report;
  if (report.incarnation !== known) {
    upstream.incarnation = report.incarnation;
    upstream.grant = undefined;
    // Successes of the previous incarnation do not apply to this one.
    upstream.succeeded = 0;
    if (known !== 0) handleRestart(node, upstream, known);
    node.wakeCredits();
  }
  wakeWatchers(upstream);
}

/** Handles a restart; `incarnation` is the one that has ended. */
function handleRestart(
  node: RouterNode,
  upstream: UpstreamState,
  incarnation: number,
): void {
  const since = node.clock() - LOST_REQUEST_RETENTION_MS;
  const recentlyLost = upstream.brokenRequests.filter(({at}) => at >= since);
  const affected = [
    ...recentlyLost.map(({running}) => running),
    ...[...upstream.running.values()].filter(({broken}) => broken),
  ];
  upstream.brokenRequests = [];
  node.log.warn({upstream: upstream.name, incarnation}, 'upstream restarted');
  if (affected.length === 0) return;
  reportCrash(node, {
    upstream: upstream.name,
    incarnation,
    fingerprints: affected.map(({fingerprint}) => fingerprint),
    suspects: affected
      .filter(r => r.suspect)
      .map(({fingerprint}) => fingerprint),
  });
}

async function followReports(node: RouterNode, upstream: UpstreamState) {
  const {signal} = upstream.abortController;
  while (!signal.aborted) {
    await watchLoadReports(
      node.engines,
      upstream.spec.address,
      report => applyReport(node, upstream, report),
      signal,
    );
    upstream.report = undefined;
    upstream.grant = undefined;
    wakeWatchers(upstream);
    await wait(REPORT_RECONNECT_DELAY_MS);
  }
}

/** Opens and closes report streams after each configuration change. */
export function syncUpstreams(node: RouterNode): void {
  for (const {name, spec} of listResources(node.configuration, 'Upstream')) {
    const known = node.upstreams.get(name);
    if (known?.spec.address === spec.address) {
      known.spec = spec;
      continue;
    }
    known?.abortController.abort();
    const upstream = createUpstream(name, spec, node.clock());
    node.upstreams.set(name, upstream);
    void followReports(node, upstream);
  }
  for (const [name, upstream] of node.upstreams) {
    if (findResource(node.configuration, 'Upstream', name)) continue;
    upstream.abortController.abort();
    node.upstreams.delete(name);
  }
}

export function closeUpstreams(node: RouterNode): void {
  for (const upstream of node.upstreams.values())
    upstream.abortController.abort();
}

/** Credits that are unexpired and match the running incarnation. */
export function usableCredits(
  node: RouterNode,
  upstream: UpstreamState,
): number {
  const {grant, report} = upstream;
  if (!grant || !report) return 0;
  if (grant.upstreamIncarnation !== report.incarnation) return 0;
  return node.clock() < grant.expiresAt ? grant.credits : 0;
}

/** Views of all upstreams, as input of the balance decision. */
export function viewUpstreams(node: RouterNode): UpstreamView[] {
  const views: UpstreamView[] = [];
  for (const upstream of node.upstreams.values()) {
    const {name, spec, running, report, grant} = upstream;
    const domain = findResource(
      node.configuration,
      'FailureDomain',
      spec.failureDomain,
    );
    let suspects = 0;
    for (const {suspect} of running.values()) if (suspect) suspects += 1;
    const loaded = spec.slots ? (report?.versions ?? []) : spec.versions;
    views.push({
      name,
      spec: {...spec, versions: loaded},
      domainOut: domain?.spec.state === 'out',
      vmLeaving: spec.vm !== undefined && node.leavingVms.has(spec.vm),
      reachable: report !== undefined,
      credits: usableCredits(node, upstream),
      inFlight: running.size,
      reportedRunning: report?.running ?? 0,
      limit: grant?.limit ?? spec.coldLimit,
      suspects,
    });
  }
  return views;
}

export function startRunning(
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
): void {
  upstream.running.set(running.requestId, running);
  upstream.lastUsedAt = node.clock();
}

/** How a request ended on its upstream. */
export const RequestOutcome = {
  done: 'done',
  /** The caller disconnected or the request never started. */
  dropped: 'dropped',
  /** The upstream refused, was far too slow or gave an invalid answer. */
  failed: 'failed',
  /** The connection broke. */
  lost: 'lost',
} as const;
export type RequestOutcome =
  (typeof RequestOutcome)[keyof typeof RequestOutcome];

type OutcomeHandler = (
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
  tookMs: number,
) => void;

const OUTCOME_HANDLERS: Readonly<Record<RequestOutcome, OutcomeHandler>> = {
  done: (_node, upstream, _running, tookMs) => {
    upstream.succeeded += 1;
    upstream.serviceMs +=
      (tookMs - upstream.serviceMs) * SERVICE_TIME_SMOOTHING_RATIO;
  },
  dropped: () => {},
  failed: (_node, upstream) => {
    upstream.failed = true;
  },
  lost: (node, upstream, running) => {
    const at = node.clock();
    const since = at - LOST_REQUEST_RETENTION_MS;
    upstream.brokenRequests = upstream.brokenRequests.filter(
      entry => entry.at >= since,
    );
    upstream.brokenRequests.push({at, running});
  },
};

/** Removes a request from its upstream and records the outcome. */
export function endRunning(
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
  outcome: RequestOutcome,
  tookMs: number,
): void {
  if (!upstream.running.delete(running.requestId)) return;
  OUTCOME_HANDLERS[outcome](node, upstream, running, tookMs);
  node.wakeWaiting();
}

/**
 * After a broken connection, waits until a load report shows whether the
 * upstream has restarted, or until the time-out.
 */
export async function awaitRestartOrReport(
  node: RouterNode,
  upstream: UpstreamState,
  incarnation: number,
): Promise<void> {
  const until = node.clock() + RESTART_DETECTION_TIMEOUT_MS;
  const initialReport = upstream.report;
  while (node.clock() < until) {
    if (upstream.incarnation !== incarnation) return;
    if (upstream.report && upstream.report !== initialReport) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, until - node.clock());
      upstream.watchers.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
