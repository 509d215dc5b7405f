/**
 * Decides which versions each upstream loads and unloads. The orders follow
 * demand, roll-outs, drains and failure domains that are out of service. The
 * store of model weights bounds the number of concurrent loads, and a load makes
 * its upstream cold. Pure functions only.
 */

/** State of an upstream on which the router places versions. */
export interface PlacementView {
  readonly name: string;
  readonly failureDomain: string;
  /** Whether it may receive new requests and versions. */
  readonly inService: boolean;
  readonly slots: number;
  /** Versions that it reports as loaded. */
  readonly loaded: readonly string[];
  /** Version of an order that its reports do not show yet. */
  readonly pendingVersion?: string;
  /** Requests that run there. */
  readonly running: number;
  /** Concurrent requests that it can run when warm. */
  readonly warmLimit: number;
}

/** Demand for one version. */
export interface PlacementDemand {
  readonly version: string;
  readonly active: boolean;
  readonly minReplicas: number;
  /** Mean concurrent requests over all nodes. */
  readonly concurrency: number;
}

/** An order for one upstream. */
export interface PlacementOrder {
  readonly order: 'load' | 'unload';
  readonly upstream: string;
  readonly version: string;
  readonly reason: string;
}

/** Part of an upstream's warm limit that demand may use. */
const TARGET_LOAD_RATIO = 0.7;
/** Loads that the store of model weights can serve at once. */
export const MAX_CONCURRENT_LOAD_COUNT = 2;

function hasVersion(view: PlacementView, version: string): boolean {
  return view.loaded.includes(version) || view.pendingVersion === version;
}

function listReplicas(
  views: readonly PlacementView[],
  version: string,
): PlacementView[] {
  return views.filter(view => view.inService && hasVersion(view, version));
}

export function countNeededReplicas(
  views: readonly PlacementView[],
  demand: PlacementDemand,
): number {
  if (!demand.active) return 0;
  const limits = views.map(view => view.warmLimit);
  const requestsPerReplica = Math.max(
    1,
    Math.min(...limits) * TARGET_LOAD_RATIO,
  );
  const neededForDemand = Math.ceil(demand.concurrency / requestsPerReplica);
  const inServiceCount = views.filter(view => view.inService).length;
  return Math.min(
    inServiceCount,
    Math.max(demand.minReplicas, neededForDemand),
  );
}

/** Whether this upstream has the only replica of a version in demand. */
function hasLastReplica(
  views: readonly PlacementView[],
  view: PlacementView,
  demands: readonly PlacementDemand[],
): boolean {
  for (const {version, active, concurrency} of demands) {
    if (!active || concurrency === 0 || !view.loaded.includes(version))
      continue;
    const replicas = views.filter(
      other => other.inService && other.loaded.includes(version),
    );
    if (replicas.length === 1) return true;
  }
  return false;
}

/**
 * Chooses the upstream for one more replica: the one whose failure domain has
 * the fewest replicas, then the one with the fewest running requests.
 */
function chooseTarget(
  views: readonly PlacementView[],
  version: string,
  demands: readonly PlacementDemand[],
): PlacementView | undefined {
  const replicas = listReplicas(views, version);
  const countInDomain = (view: PlacementView) =>
    replicas.filter(other => other.failureDomain === view.failureDomain).length;
  let best: PlacementView | undefined;
  for (const view of views) {
    if (!view.inService || view.pendingVersion || hasVersion(view, version))
      continue;
    if (view.loaded.length >= view.slots) continue;
    // A load makes the upstream cold, and with it the only replica.
    if (hasLastReplica(views, view, demands)) continue;
    const difference = best && countInDomain(view) - countInDomain(best);
    if (difference !== undefined && difference > 0) continue;
    if (best && difference === 0 && view.running >= best.running) continue;
    best = view;
  }
  return best;
}

/**
 * Returns the unload of a version with surplus replicas from an upstream without
 * a free slot.
 */
function chooseUnload(
  views: readonly PlacementView[],
  neededReplicas: ReadonlyMap<string, number>,
): PlacementOrder | undefined {
  for (const view of views) {
    if (!view.inService || view.pendingVersion) continue;
    if (view.loaded.length < view.slots) continue;
    for (const version of view.loaded) {
      const surplus =
        listReplicas(views, version).length -
        (neededReplicas.get(version) ?? 0);
      if (surplus <= 0) continue;
      const reason = `${surplus} more replicas than needed`;
      return {order: 'unload', upstream: view.name, version, reason};
    }
  }
  return undefined;
}

function listInactiveUnloads(
  views: readonly PlacementView[],
  demands: readonly PlacementDemand[],
): PlacementOrder[] {
  const active = new Set(
    demands.filter(demand => demand.active).map(demand => demand.version),
  );
  const orders: PlacementOrder[] = [];
  for (const view of views) {
    if (view.pendingVersion) continue;
    const version = view.loaded.find(loaded => !active.has(loaded));
    if (!version) continue;
    const reason = 'version is withdrawn or unknown';
    orders.push({order: 'unload', upstream: view.name, version, reason});
  }
  return orders;
}

/** Returns the orders of this round, at most one for each upstream. */
export function decidePlacement(
  views: readonly PlacementView[],
  demands: readonly PlacementDemand[],
): PlacementOrder[] {
  const orders = listInactiveUnloads(views, demands);
  const neededReplicas = new Map(
    demands.map(demand => [demand.version, countNeededReplicas(views, demand)]),
  );
  const orderedUpstreams = new Set(orders.map(order => order.upstream));
  let loadCount = views.filter(
    view => view.pendingVersion !== undefined,
  ).length;
  const shortages = demands
    .map(demand => ({
      version: demand.version,
      missing:
        (neededReplicas.get(demand.version) ?? 0) -
        listReplicas(views, demand.version).length,
    }))
    .filter(({missing}) => missing > 0)
    .sort((a, b) => b.missing - a.missing);
  for (const {version, missing} of shortages) {
    if (loadCount >= MAX_CONCURRENT_LOAD_COUNT) break;
    const free = views.filter(view => !orderedUpstreams.has(view.name));
    const target = chooseTarget(free, version, demands);
    const unload = target ? undefined : chooseUnload(free, neededReplicas);
    if (unload) {
      orders.push(unload);
      orderedUpstreams.add(unload.upstream);
    }
    if (!target) continue;
    const reason = `${missing} replicas missing`;
    orders.push({order: 'load', upstream: target.name, version, reason});
    orderedUpstreams.add(target.name);
    loadCount += 1;
  }
  return orders;
}
