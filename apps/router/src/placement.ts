/**
 * Loads and unloads versions on upstreams with slots, on the holder of the
 * control group.
 */
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
import {
  CONTROL_GROUP,
  holdsGroup,
  STALE_HOLDER_TIMEOUT_MS,
} from './allocators.js';

/** Longest time that an order may be in transit. */
const ORDER_TIMEOUT_MS = 2_000;
/** Longest time that a load may take before it is ordered again. */
const LOAD_TIMEOUT_MS = 60_000;
/** Weight of the newest round in the mean demand. */
const DEMAND_SMOOTHING_RATIO = 0.3;

interface PendingOrder {
  readonly order: PlacementOrder;
  /** Local monotonic milliseconds; afterwards the order may be issued again. */
  readonly expiresAt: number;
}

/** State that the controller keeps between rounds. */
export interface PlacementState {
  /** Revision that appointed this holder, used as fencing token. */
  fence: number;
  heldSince: number;
  readonly pending: Map<string, PendingOrder>;
  /** Requests counted at the last round and mean concurrency, by version. */
  readonly demand: Map<string, {seen: number; at: number; mean: number}>;
}

export function createPlacementState(): PlacementState {
  return {fence: 0, heldSince: 0, pending: new Map(), demand: new Map()};
}

/** Drops orders that load reports show as done, and those that timed out. */
function prunePending(node: RouterNode, state: PlacementState): void {
  for (const [name, {order, expiresAt}] of state.pending) {
    const loaded = node.upstreams.get(name)?.report?.versions ?? [];
    const done = loaded.includes(order.version) === (order.order === 'load');
    if (done || node.clock() > expiresAt) state.pending.delete(name);
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

/** Mean concurrency of a version: arrival rate times mean service time. */
function updateDemand(
  node: RouterNode,
  state: PlacementState,
  version: string,
): number {
  // `error/seen` counts every outcome of the version, failed or not.
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
  const current = (rate * serviceMs) / 1_000;
  const mean = known.mean + (current - known.mean) * DEMAND_SMOOTHING_RATIO;
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
    concurrency: updateDemand(node, state, name),
  }));
}

async function issueOrder(
  node: RouterNode,
  state: PlacementState,
  order: PlacementOrder,
): Promise<void> {
  const upstream = node.upstreams.get(order.upstream);
  if (!upstream || !holdsGroup(node, CONTROL_GROUP)) return;
  const expiresAt = node.clock() + LOAD_TIMEOUT_MS;
  state.pending.set(order.upstream, {order, expiresAt});
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
    outcome: result.isOk() ? 'accepted' : result.error.message,
  });
}

/**
 * Whether no order of a previous holder can take effect any more. Engines that
 * check orders reject it by its fencing token. For others, the last order of a
 * stale holder must have timed out.
 */
function mayIssueOrder(
  node: RouterNode,
  state: PlacementState,
  upstream: string,
): boolean {
  const spec = node.upstreams.get(upstream)?.spec;
  if (spec?.checksOrders) return true;
  const waited = node.clock() - state.heldSince;
  return waited > STALE_HOLDER_TIMEOUT_MS + ORDER_TIMEOUT_MS;
}

/** One round of placement; does nothing if this node is not the holder. */
export async function placeVersions(
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
  prunePending(node, state);
  const views = viewPlacement(node, state);
  if (views.length === 0) return;
  const orders = decidePlacement(views, listDemands(node, state));
  for (const order of orders) {
    if (mayIssueOrder(node, state, order.upstream))
      await issueOrder(node, state, order);
  }
}
