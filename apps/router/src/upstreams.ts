/** What the node knows of upstreams: declarations, load reports, crashes. */
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

/** Pause before a broken report stream is opened again. */
const REOPEN_MS = 150;
/** How long a broken-off request may still belong to a crash. */
const LOST_MEMORY_MS = 3_000;
/** How long a request that broke off waits to learn whether its upstream died. */
const BREAK_WAIT_MS = 600;
/** Weight of the newest request in the mean time of a request. */
const SERVICE_WEIGHT = 0.1;
const FIRST_SERVICE_MS = 300;

function createUpstream(name: string, spec: UpstreamSpec): UpstreamState {
  return {
    name,
    spec,
    incarnation: 0,
    running: new Map(),
    brokenRequests: [],
    succeeded: 0,
    failed: false,
    lastUsedAt: -Infinity,
    serviceMs: FIRST_SERVICE_MS,
    firstTokenMs: 0,
    abortController: new AbortController(),
    watchers: new Set(),
  };
}

function wakeWatchers(upstream: UpstreamState): void {
  for (const wake of upstream.watchers) wake();
  upstream.watchers.clear();
}

function onReport(
  node: RouterNode,
  upstream: UpstreamState,
  report: EngineReport,
): void {
  const known = upstream.incarnation;
  upstream.report = report;
  if (report.incarnation !== known) {
    upstream.incarnation = report.incarnation;
    upstream.grant = undefined;
    // Successes of the earlier start say nothing of this one.
    upstream.succeeded = 0;
    if (known !== 0) onRestart(node, upstream, known);
    node.wakeCredits();
  }
  wakeWatchers(upstream);
}

function onRestart(
  node: RouterNode,
  upstream: UpstreamState,
  incarnation: number,
): void {
  const since = node.clock() - LOST_MEMORY_MS;
  const broken = upstream.brokenRequests.filter(({at}) => at >= since);
  const ran = [
    ...broken.map(({running}) => running),
    ...[...upstream.running.values()].filter(({broken}) => broken),
  ];
  upstream.brokenRequests = [];
  node.log.warn({upstream: upstream.name, incarnation}, 'upstream restarted');
  if (ran.length === 0) return;
  reportCrash(node, {
    upstream: upstream.name,
    incarnation,
    fingerprints: ran.map(({fingerprint}) => fingerprint),
    suspects: ran.filter(r => r.suspect).map(({fingerprint}) => fingerprint),
  });
}

async function follow(node: RouterNode, upstream: UpstreamState) {
  const {signal} = upstream.abortController;
  while (!signal.aborted) {
    await watchLoadReports(
      node.engines,
      upstream.spec.address,
      report => onReport(node, upstream, report),
      signal,
    );
    upstream.report = undefined;
    upstream.grant = undefined;
    wakeWatchers(upstream);
    await wait(REOPEN_MS);
  }
}

/** Follows the declared upstreams; called after each configuration change. */
export function syncUpstreams(node: RouterNode): void {
  for (const {name, spec} of listResources(node.configuration, 'Upstream')) {
    const known = node.upstreams.get(name);
    if (known?.spec.address === spec.address) {
      known.spec = spec;
      continue;
    }
    known?.abortController.abort();
    const upstream = createUpstream(name, spec);
    node.upstreams.set(name, upstream);
    void follow(node, upstream);
  }
  for (const [name, upstream] of node.upstreams) {
    if (findResource(node.configuration, 'Upstream', name)) continue;
    upstream.abortController.abort();
    node.upstreams.delete(name);
  }
}

/** Ends all report streams. */
export function closeUpstreams(node: RouterNode): void {
  for (const upstream of node.upstreams.values())
    upstream.abortController.abort();
}

/** Credits that are good now. */
export function goodCredits(node: RouterNode, upstream: UpstreamState): number {
  const {grant, report} = upstream;
  if (!grant || !report) return 0;
  if (grant.upstreamIncarnation !== report.incarnation) return 0;
  return node.clock() < grant.expiresAt ? grant.credits : 0;
}

/** Every upstream as the balance decision sees it. */
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
    const held = spec.slots ? (report?.versions ?? []) : spec.versions;
    views.push({
      name,
      spec: {...spec, versions: held},
      domainOut: domain?.spec.state === 'out',
      vmLeaving: spec.vm !== undefined && node.leavingVms.has(spec.vm),
      reachable: report !== undefined,
      credits: goodCredits(node, upstream),
      inFlight: running.size,
      reportedRunning: report?.running ?? 0,
      limit: grant?.limit ?? spec.coldLimit,
      suspects,
    });
  }
  return views;
}

/** Marks a request as running on an upstream. */
export function startRunning(
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
): void {
  upstream.running.set(running.requestId, running);
  upstream.lastUsedAt = node.clock();
}

/** How a request left its upstream. */
export const Leave = {
  done: 'done',
  /** The caller went away or the work never started. */
  dropped: 'dropped',
  /** The upstream refused, was far too slow or answered nonsense. */
  failed: 'failed',
  /** The connection broke. */
  lost: 'lost',
} as const;
export type Leave = (typeof Leave)[keyof typeof Leave];

type LeaveHandler = (
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
  tookMs: number,
) => void;

const LEAVE_HANDLERS: Readonly<Record<Leave, LeaveHandler>> = {
  done: (_node, upstream, _running, tookMs) => {
    upstream.succeeded += 1;
    upstream.serviceMs += (tookMs - upstream.serviceMs) * SERVICE_WEIGHT;
  },
  dropped: () => {},
  failed: (_node, upstream) => {
    upstream.failed = true;
  },
  lost: (node, upstream, running) => {
    const at = node.clock();
    const since = at - LOST_MEMORY_MS;
    upstream.brokenRequests = upstream.brokenRequests.filter(
      entry => entry.at >= since,
    );
    upstream.brokenRequests.push({at, running});
  },
};

/** Marks a request as gone from its upstream. */
export function endRunning(
  node: RouterNode,
  upstream: UpstreamState,
  running: RunningRequest,
  leave: Leave,
  tookMs: number,
): void {
  if (!upstream.running.delete(running.requestId)) return;
  LEAVE_HANDLERS[leave](node, upstream, running, tookMs);
  node.wakeWaiting();
}

/**
 * Waits a little to learn whether an upstream that broke a request off has
 * restarted or still runs as before.
 */
export async function awaitBreakVerdict(
  node: RouterNode,
  upstream: UpstreamState,
  incarnation: number,
): Promise<void> {
  const until = node.clock() + BREAK_WAIT_MS;
  const first = upstream.report;
  while (node.clock() < until) {
    if (upstream.incarnation !== incarnation) return;
    if (upstream.report && upstream.report !== first) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, until - node.clock());
      upstream.watchers.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}
