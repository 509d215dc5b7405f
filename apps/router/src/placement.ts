/** Places versions on upstreams with slots, on the holder of the control group. */
import {
  decidePlacement,
  type PlacementDemand,
  type PlacementOrder,
  type PlacementView,
} from '@parsleyarch/policy/placement';
import {readTotal} from '@parsleyarch/protocol/evidence';
import {findResource, listResources} from '@parsleyarch/resource/configuration';
import {sendOrder} from '@parsleyarch/upstream/engine';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';
import {CONTROL_GROUP, holdsGroup, TAKEOVER_WAIT_MS} from './allocators.js';

/** Longest time that an order is under way, and that its load may take. */
const ORDER_TIMEOUT_MS = 2_000;
const LOAD_BOUND_MS = 60_000;
/** Weight of the newest round in the mean demand. */
const DEMAND_WEIGHT = 0.3;

interface Pending {
  readonly order: PlacementOrder;
  /** Local monotonic milliseconds after which it is ordered again. */
  readonly until: number;
}

/** What the controller remembers between rounds. */
export interface PlacementState {
  /** Revision that named this holder; its fencing number. */
  fence: number;
  heldSince: number;
  readonly pending: Map<string, Pending>;
  /** Requests seen by version, and mean requests at once. */
  readonly demand: Map<string, {seen: number; at: number; mean: number}>;
}

/** A controller that has placed nothing yet. */
export function createPlacement(): PlacementState {
  return {fence: 0, heldSince: 0, pending: new Map(), demand: new Map()};
}

/** Drops orders that show in the reports, and those that took too long. */
function settlePending(node: RouterNode, state: PlacementState): void {
  for (const [name, {order, until}] of state.pending) {
    const held = node.upstreams.get(name)?.report?.versions ?? [];
    const done = held.includes(order.version) === (order.order === 'load');
    if (done || node.clock() > until) state.pending.delete(name);
  }
}

function viewPlacement(
  node: RouterNode,
  state: PlacementState,
): PlacementView[] {
  const views: PlacementView[] = [];
  for (const {name, spec, report} of node.upstreams.values()) {
    if (!spec.slots || !report) continue;
    const domain = findResource(
      node.configuration,
      'FailureDomain',
      spec.failureDomain,
    );
    const pending = state.pending.get(name)?.order;
    const unloading = pending?.order === 'unload' ? pending.version : undefined;
    views.push({
      name,
      failureDomain: spec.failureDomain,
      inService:
        spec.state === 'in' &&
        domain?.spec.state === 'in' &&
        !(spec.vm && node.leavingVms.has(spec.vm)),
      slots: spec.slots,
      loaded: report.versions.filter(version => version !== unloading),
      pendingVersion: pending?.version,
      running: report.running,
      warmLimit: spec.warmLimit,
    });
  }
  return views;
}

/** Mean requests at once, by arrivals and the time that a request takes. */
function demandFor(
  node: RouterNode,
  state: PlacementState,
  version: string,
): number {
  const seen = readTotal(node.evidence, `${version}/error/seen`);
  const at = node.clock();
  const known = state.demand.get(version) ?? {seen, at, mean: 0};
  const seconds = (at - known.at) / 1_000;
  const rate = seconds > 0 ? Math.max(0, seen - known.seen) / seconds : 0;
  const serving = [...node.upstreams.values()].filter(upstream =>
    upstream.report?.versions.includes(version),
  );
  const total = serving.reduce((sum, {serviceMs}) => sum + serviceMs, 0);
  const serviceMs = serving.length > 0 ? total / serving.length : 0;
  const now = (rate * serviceMs) / 1_000;
  const mean = known.mean + (now - known.mean) * DEMAND_WEIGHT;
  state.demand.set(version, {seen, at, mean});
  return mean;
}

function listDemands(
  node: RouterNode,
  state: PlacementState,
): PlacementDemand[] {
  return listResources(node.configuration, 'Version').map(({name, spec}) => ({
    version: name,
    active: spec.state === 'active',
    minReplicas: spec.minReplicas,
    concurrency: demandFor(node, state, name),
  }));
}

async function give(
  node: RouterNode,
  state: PlacementState,
  order: PlacementOrder,
): Promise<void> {
  const upstream = node.upstreams.get(order.upstream);
  if (!upstream || !holdsGroup(node, CONTROL_GROUP)) return;
  const until = node.clock() + LOAD_BOUND_MS;
  state.pending.set(order.upstream, {order, until});
  const result = await sendOrder(
    node.engines,
    upstream.spec.address,
    {order: order.order, version: order.version, fence: state.fence},
    ORDER_TIMEOUT_MS,
  );
  if (result.isErr() && result.error.run === 'not-run')
    state.pending.delete(order.upstream);
  recordDecision(node, {
    decision: 'placement',
    choice: `${order.order} ${order.version} on ${order.upstream}`,
    reason: order.reason,
    fence: state.fence,
    outcome: result.isOk() ? 'taken' : result.error.message,
  });
}

/**
 * Whether every order of an earlier holder has ended. Engines that check orders
 * refuse it by its number; others are waited for.
 */
function mayOrder(
  node: RouterNode,
  state: PlacementState,
  upstream: string,
): boolean {
  const spec = node.upstreams.get(upstream)?.spec;
  if (spec?.checksOrders) return true;
  const waited = node.clock() - state.heldSince;
  return waited > TAKEOVER_WAIT_MS + ORDER_TIMEOUT_MS;
}

/** One round of placement; does nothing on other nodes. */
export async function placementStep(
  node: RouterNode,
  state: PlacementState,
): Promise<void> {
  if (!holdsGroup(node, CONTROL_GROUP)) return;
  const fence = findResource(
    node.configuration,
    'Allocator',
    CONTROL_GROUP,
  )?.revision;
  if (fence !== state.fence) {
    state.fence = fence ?? 0;
    state.heldSince = node.clock();
    state.pending.clear();
  }
  settlePending(node, state);
  const views = viewPlacement(node, state);
  if (views.length === 0) return;
  const orders = decidePlacement(views, listDemands(node, state));
  for (const order of orders) {
    if (mayOrder(node, state, order.upstream)) await give(node, state, order);
  }
}
