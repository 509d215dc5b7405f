/**
 * Which upstream is to hold which versions. Orders follow demand, roll-outs,
 * drains and failure domains that are out, within the rate of the weight store;
 * a load makes its upstream cold. Pure functions only.
 */

/** An upstream whose versions the router places. */
export interface PlacementView {
  readonly name: string;
  readonly failureDomain: string;
  /** Whether it may be given new work. */
  readonly inService: boolean;
  readonly slots: number;
  /** Versions that it reports to hold. */
  readonly held: readonly string[];
  /** Version of an order that has not shown in its reports yet. */
  readonly pending?: string;
  /** Requests that run there. */
  readonly running: number;
  /** Requests that it bears when warm. */
  readonly warmLimit: number;
}

/** What is asked of one version. */
export interface PlacementDemand {
  readonly version: string;
  readonly active: boolean;
  readonly minReplicas: number;
  /** Requests that run at once, over all nodes. */
  readonly concurrency: number;
}

/** An order to one upstream. */
export interface PlacementOrder {
  readonly order: 'load' | 'unload';
  readonly upstream: string;
  readonly version: string;
  readonly reason: string;
}

/** Share of an upstream's warm limit that demand may fill. */
const FILL = 0.7;
/** Loads that the weight store serves at once. */
export const LOADS_AT_ONCE = 2;

function holds(view: PlacementView, version: string): boolean {
  return view.held.includes(version) || view.pending === version;
}

function replicasOf(
  views: readonly PlacementView[],
  version: string,
): PlacementView[] {
  return views.filter(view => view.inService && holds(view, version));
}

/** Replicas that a version should have now. */
export function wantedReplicas(
  views: readonly PlacementView[],
  demand: PlacementDemand,
): number {
  if (!demand.active) return 0;
  const limits = views.map(view => view.warmLimit);
  const each = Math.max(1, Math.min(...limits) * FILL);
  const byDemand = Math.ceil(demand.concurrency / each);
  const most = views.filter(view => view.inService).length;
  return Math.min(most, Math.max(demand.minReplicas, byDemand));
}

/** Whether some version in demand is in service on this upstream alone. */
function isLastReplica(
  views: readonly PlacementView[],
  view: PlacementView,
  demands: readonly PlacementDemand[],
): boolean {
  for (const {version, active, concurrency} of demands) {
    if (!active || concurrency === 0 || !view.held.includes(version)) continue;
    const others = views.filter(
      other => other.inService && other.held.includes(version),
    );
    if (others.length === 1) return true;
  }
  return false;
}

/** The best upstream for one more replica: another domain first, then idle. */
function placeFor(
  views: readonly PlacementView[],
  version: string,
  demands: readonly PlacementDemand[],
): PlacementView | undefined {
  const replicas = replicasOf(views, version);
  const inDomain = (view: PlacementView) =>
    replicas.filter(other => other.failureDomain === view.failureDomain).length;
  let best: PlacementView | undefined;
  for (const view of views) {
    if (!view.inService || view.pending || holds(view, version)) continue;
    if (view.held.length >= view.slots) continue;
    if (isLastReplica(views, view, demands)) continue;
    const order = best && inDomain(view) - inDomain(best);
    if (order !== undefined && order > 0) continue;
    if (best && order === 0 && view.running >= best.running) continue;
    best = view;
  }
  return best;
}

/** A slot held by a version that has more replicas than it needs. */
function slotToFree(
  views: readonly PlacementView[],
  wanted: ReadonlyMap<string, number>,
): PlacementOrder | undefined {
  for (const view of views) {
    if (!view.inService || view.pending) continue;
    if (view.held.length < view.slots) continue;
    for (const version of view.held) {
      const surplus =
        replicasOf(views, version).length - (wanted.get(version) ?? 0);
      if (surplus <= 0) continue;
      const reason = `${surplus} more replicas than needed`;
      return {order: 'unload', upstream: view.name, version, reason};
    }
  }
  return undefined;
}

function ordersForInactive(
  views: readonly PlacementView[],
  demands: readonly PlacementDemand[],
): PlacementOrder[] {
  const active = new Set(
    demands.filter(each => each.active).map(each => each.version),
  );
  const orders: PlacementOrder[] = [];
  for (const view of views) {
    if (view.pending) continue;
    const version = view.held.find(held => !active.has(held));
    if (!version) continue;
    const reason = 'version is withdrawn or unknown';
    orders.push({order: 'unload', upstream: view.name, version, reason});
  }
  return orders;
}

/** Decides the orders of this round; at most one for each upstream. */
export function decidePlacement(
  views: readonly PlacementView[],
  demands: readonly PlacementDemand[],
): PlacementOrder[] {
  const orders = ordersForInactive(views, demands);
  const wanted = new Map(
    demands.map(each => [each.version, wantedReplicas(views, each)]),
  );
  const busy = new Set(orders.map(order => order.upstream));
  let loads = views.filter(view => view.pending !== undefined).length;
  const short = demands
    .map(each => ({
      version: each.version,
      missing:
        (wanted.get(each.version) ?? 0) -
        replicasOf(views, each.version).length,
    }))
    .filter(({missing}) => missing > 0)
    .sort((a, b) => b.missing - a.missing);
  for (const {version, missing} of short) {
    if (loads >= LOADS_AT_ONCE) break;
    const free = views.filter(view => !busy.has(view.name));
    const place = placeFor(free, version, demands);
    const freed = place ? undefined : slotToFree(free, wanted);
    if (freed) {
      orders.push(freed);
      busy.add(freed.upstream);
    }
    if (!place) continue;
    const reason = `${missing} replicas missing`;
    orders.push({order: 'load', upstream: place.name, version, reason});
    busy.add(place.name);
    loads += 1;
  }
  return orders;
}
