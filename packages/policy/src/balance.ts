/** Chooses the upstream for a request among those with free credits. */
import type {UpstreamSpec} from '@parsleyarch/resource/schema';

/** State of one upstream as a node knows it at dispatch. */
export interface UpstreamView {
  readonly name: string;
  readonly spec: UpstreamSpec;
  /** Whether operators have taken its failure domain out of service. */
  readonly domainOut: boolean;
  /** Whether the platform lists its VM as leaving. */
  readonly vmLeaving: boolean;
  /** Whether its load reports arrive. */
  readonly reachable: boolean;
  /** Unexpired credits of this node for the upstream. */
  readonly credits: number;
  /** Requests of this node that run there. */
  readonly inFlight: number;
  /** Running requests of all nodes, by the last load report. */
  readonly reportedRunning: number;
  /** Concurrency limit over all nodes, set by the allocator. */
  readonly limit: number;
  /** Running requests that are suspected of crashing upstreams. */
  readonly suspects: number;
}

/** Conditions that a request sets for its upstream. */
export interface UpstreamRequirements {
  /** Version that an engine has to serve. */
  readonly version?: string;
  /** Service that a plain instance has to belong to. */
  readonly service?: string;
  readonly failureDomain: string;
  /** Ranks upstreams for a session, so that its prefix cache is reused. */
  readonly affinity?: (upstream: string) => number;
  /** Upstreams on which this request has already failed. */
  readonly avoid: ReadonlySet<string>;
  /** Whether the request itself is suspected of crashing upstreams. */
  readonly suspect: boolean;
}

/**
 * Whether the upstream is in service and serves the required version or service,
 * regardless of credits.
 */
export function canServe(
  view: UpstreamView,
  requirements: Pick<UpstreamRequirements, 'version' | 'service'>,
): boolean {
  if (view.domainOut || view.spec.state !== 'in') return false;
  if (!view.reachable || view.vmLeaving) return false;
  if (requirements.version !== undefined)
    return view.spec.versions.includes(requirements.version);
  return (
    requirements.service !== undefined &&
    view.spec.service === requirements.service
  );
}

/**
 * Whether the upstream has a free credit, has not failed this request, and would
 * not run two suspects at once.
 */
export function isAvailable(
  view: UpstreamView,
  requirements: UpstreamRequirements,
): boolean {
  if (view.inFlight >= view.credits || requirements.avoid.has(view.name))
    return false;
  return !requirements.suspect || view.suspects === 0;
}

function utilisation(view: UpstreamView): number {
  const local = view.inFlight / Math.max(1, view.credits);
  const total = view.reportedRunning / Math.max(1, view.limit);
  return Math.max(local, total);
}

/** Upstreams that keep a session's prefixes, the first one preferred. */
const AFFINITY_UPSTREAM_COUNT = 2;

/** Returns the highest-ranked preferred upstream of a session that is free. */
function findPreferred(
  views: readonly UpstreamView[],
  free: readonly UpstreamView[],
  requirements: UpstreamRequirements,
): UpstreamView | undefined {
  const {affinity} = requirements;
  if (!affinity) return undefined;
  const preferred = views
    .filter(view => canServe(view, requirements))
    .sort((a, b) => affinity(b.name) - affinity(a.name))
    .slice(0, AFFINITY_UPSTREAM_COUNT);
  for (const candidate of preferred) {
    if (free.includes(candidate)) return candidate;
  }
  return undefined;
}

/** The chosen upstream and the rule that chose it. */
export interface BalanceChoice {
  readonly upstream: string;
  readonly reason: 'affinity' | 'near' | 'spill';
}

function chooseLessUtilised(
  views: readonly UpstreamView[],
  random: () => number,
): UpstreamView {
  const first = Math.floor(random() * views.length);
  const offset = 1 + Math.floor(random() * (views.length - 1));
  const second = (first + offset) % views.length;
  const [a, b] = [views[first], views[second]];
  return utilisation(b) < utilisation(a) ? b : a;
}

/**
 * Chooses among the available upstreams: a preferred upstream of the session,
 * else the less utilised of two random ones in the same failure domain, else of
 * two in any domain.
 */
export function chooseUpstream(
  views: readonly UpstreamView[],
  requirements: UpstreamRequirements,
  random: () => number,
): BalanceChoice | undefined {
  const free = views.filter(
    view => canServe(view, requirements) && isAvailable(view, requirements),
  );
  if (free.length === 0) return undefined;
  const preferred = findPreferred(views, free, requirements);
  if (preferred) return {upstream: preferred.name, reason: 'affinity'};
  const sameDomain = free.filter(
    view => view.spec.failureDomain === requirements.failureDomain,
  );
  if (sameDomain.length > 0)
    return {
      upstream: chooseLessUtilised(sameDomain, random).name,
      reason: 'near',
    };
  return {upstream: chooseLessUtilised(free, random).name, reason: 'spill'};
}
