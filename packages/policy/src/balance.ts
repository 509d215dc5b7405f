/** Which upstream gets a request, among those with free credits. */
import type {UpstreamSpec} from '@parsleyarch/resource/schema';

/** What a node knows of one upstream at dispatch. */
export interface UpstreamView {
  readonly name: string;
  readonly spec: UpstreamSpec;
  /** Whether operators have taken its failure domain out. */
  readonly domainOut: boolean;
  /** Whether the platform lists its VM as leaving. */
  readonly vmLeaving: boolean;
  /** Whether its load reports come in. */
  readonly reachable: boolean;
  /** Credits held and good now. */
  readonly credits: number;
  /** Requests of this node running there. */
  readonly inFlight: number;
  /** Load by the last report, all nodes together. */
  readonly reportedRunning: number;
  /** Limit over all nodes, by the allocator. */
  readonly limit: number;
  /** Requests suspected of crashing upstreams that run there. */
  readonly suspects: number;
}

/** What a request asks of its upstream. */
export interface Need {
  /** Version, for engines. */
  readonly version?: string;
  /** Plain service, for its instances. */
  readonly service?: string;
  readonly failureDomain: string;
  /** Ranks upstreams for a session so that its prefix cache is found again. */
  readonly affinity?: (upstream: string) => number;
  /** Upstreams that failed this request already. */
  readonly avoid: ReadonlySet<string>;
  /** Whether the request itself is suspected of crashing upstreams. */
  readonly suspect: boolean;
}

/** Whether the upstream could serve the pool, credits aside. */
export function canServe(
  view: UpstreamView,
  need: Pick<Need, 'version' | 'service'>,
): boolean {
  if (view.domainOut || view.spec.state !== 'in') return false;
  if (!view.reachable || view.vmLeaving) return false;
  if (need.version !== undefined)
    return view.spec.versions.includes(need.version);
  return need.service !== undefined && view.spec.service === need.service;
}

/** Whether the upstream can take the request now. */
export function isFree(view: UpstreamView, need: Need): boolean {
  if (view.inFlight >= view.credits || need.avoid.has(view.name)) return false;
  return !need.suspect || view.suspects === 0;
}

function utilisation(view: UpstreamView): number {
  const own = view.inFlight / Math.max(1, view.credits);
  const all = view.reportedRunning / Math.max(1, view.limit);
  return Math.max(own, all);
}

/** Upstreams on which a session's prefixes are kept, the first one preferred. */
const HOMES = 2;

/** The first of a session's own upstreams that is free. */
function findHome(
  views: readonly UpstreamView[],
  free: readonly UpstreamView[],
  need: Need,
): UpstreamView | undefined {
  const {affinity} = need;
  if (!affinity) return undefined;
  const homes = views
    .filter(view => canServe(view, need))
    .sort((a, b) => affinity(b.name) - affinity(a.name))
    .slice(0, HOMES);
  for (const home of homes) {
    if (free.includes(home)) return home;
  }
  return undefined;
}

/** A choice and the rule that made it. */
export interface BalanceChoice {
  readonly upstream: string;
  readonly reason: 'affinity' | 'near' | 'spill';
}

function lighterOfTwo(
  views: readonly UpstreamView[],
  random: () => number,
): UpstreamView {
  const first = Math.floor(random() * views.length);
  const step = 1 + Math.floor(random() * (views.length - 1));
  const second = (first + step) % views.length;
  const [a, b] = [views[first], views[second]];
  return utilisation(b) < utilisation(a) ? b : a;
}

/**
 * Chooses among the free upstreams: one of the session's own first,
 * else the lighter of two in the same failure domain, else of two anywhere.
 */
export function chooseUpstream(
  views: readonly UpstreamView[],
  need: Need,
  random: () => number,
): BalanceChoice | undefined {
  const free = views.filter(view => canServe(view, need) && isFree(view, need));
  if (free.length === 0) return undefined;
  const home = findHome(views, free, need);
  if (home) return {upstream: home.name, reason: 'affinity'};
  const near = free.filter(
    view => view.spec.failureDomain === need.failureDomain,
  );
  if (near.length > 0)
    return {upstream: lighterOfTwo(near, random).name, reason: 'near'};
  return {upstream: lighterOfTwo(free, random).name, reason: 'spill'};
}
