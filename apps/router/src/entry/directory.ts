/** Applies changes of the store to the node's routing state. */
import {
  decodeConfiguration,
  decodeRolloutOrder,
  decodeUpstream,
} from '@parsleyarch/platform/decode';
import {STORE_KEY} from '@parsleyarch/platform/names';
import {createShareBucket} from '@parsleyarch/policy/shared-limit';
import {hashName} from '@parsleyarch/policy/rendezvous';
import {indexRoutes} from '@parsleyarch/policy/routes';
import type {
  RegisteredUpstream,
  RolloutOrder,
} from '@parsleyarch/resource/routing';
import type {StoredItem} from '@parsleyarch/store/keyspace';
import type {Subscriber} from './feed.js';
import type {EntryNode, UpstreamState} from './node.js';
import {removeMissing} from './restoration.js';
import {forgetOrder, renumberOrder} from './versions.js';

/** Time after a store outage in which entries may be missing, milliseconds. */
const OUTAGE_RECOVERY_MS = 2_000;
/** Time for which an upstream whose entry is missing then is still used. */
const MISSING_GRACE_MS = 1_700;
/** Margin on a reported cold time for the delay of the report, milliseconds. */
const COLD_MARGIN_MS = 500;

function applyConfiguration(node: EntryNode, item: StoredItem): void {
  const table = item.value && decodeConfiguration(item.value);
  if (!table) {
    node.log.error(
      {revision: item.revision},
      'configuration cannot be decoded; keeping the previous one',
    );
    return;
  }
  const from = node.routes?.table.version;
  if (from === table.version) return;
  if (from !== undefined && table.version < from) {
    node.log.warn(
      {from, offered: table.version, revision: item.revision},
      'configuration is older than the one in force; keeping that',
    );
    return;
  }
  node.routes = indexRoutes(table);
  node.metrics.configuration.set(table.version);
  node.onConfiguration(table);
  node.log.info(
    {from, to: table.version, revision: item.revision},
    'configuration in force',
  );
}

function isSameOrder(a: RolloutOrder, b: RolloutOrder): boolean {
  return a.target === b.target && a.durationMs === b.durationMs;
}

function applyRollout(node: EntryNode, item: StoredItem): void {
  const service = item.key.slice(STORE_KEY.rollouts.length);
  if (!item.value) {
    if (node.orders.delete(service))
      node.log.info({service}, 'roll-out order withdrawn');
    return;
  }
  const order = decodeRolloutOrder(item.value);
  if (!order) {
    node.log.error(
      {key: item.key},
      'roll-out order cannot be decoded; keeping the previous one',
    );
    return;
  }
  const {revision} = item;
  const {era} = node.feed;
  const known = node.orders.get(order.service);
  if (known?.revision === revision && known.era === era) return;
  if (known && known.era < era && isSameOrder(known, order)) {
    renumberOrder(node, known, revision);
    node.orders.set(order.service, {...known, revision, era});
    node.log.info({...order, revision, era}, 'roll-out order kept');
    return;
  }
  if (known) forgetOrder(node, known.revision);
  node.orders.set(order.service, {
    ...order,
    revision,
    era,
    seenAt: node.clock(),
  });
  node.log.info({...order, revision}, 'roll-out ordered');
}

function applyEvacuation(node: EntryNode, item: StoredItem): void {
  const domain = item.key.slice(STORE_KEY.evacuations.length);
  if (item.value) {
    if (!node.evacuated.has(domain))
      node.log.info({domain, revision: item.revision}, 'domain taken out');
    node.evacuated.add(domain);
    return;
  }
  if (!node.evacuated.delete(domain)) return;
  node.log.info({domain, revision: item.revision}, 'domain taken back');
  // Upstreams of a domain that was taken out are cold, whatever they reported.
  for (const state of node.upstreams.values()) {
    if (state.registered.failureDomain === domain) markCold(node, state, 0);
  }
}

/**
 * Treats an upstream as cold for the remaining time that it reports or, if that
 * is 0, for the time that its service declares. Never shortens a cold period.
 */
export function markCold(
  node: EntryNode,
  state: UpstreamState,
  remainingMs: number,
): void {
  const service = node.routes?.table.services.get(state.registered.service);
  const coldMs = remainingMs || (service?.coldMs ?? 0);
  if (coldMs === 0) return;
  const until = node.clock() + coldMs + COLD_MARGIN_MS;
  state.coldUntil = Math.max(state.coldUntil, until);
}

function applyOperatorItem(node: EntryNode, item: StoredItem): void {
  if (item.key === STORE_KEY.configuration) applyConfiguration(node, item);
  else if (item.key.startsWith(STORE_KEY.rollouts)) applyRollout(node, item);
  else if (item.key.startsWith(STORE_KEY.evacuations))
    applyEvacuation(node, item);
}

/** Applies the keys that operators write. */
export function operatorSubscriber(node: EntryNode): Subscriber {
  return {
    prefix: STORE_KEY.operator,
    reset(items) {
      const keys = new Set(items.map(({key}) => key));
      for (const domain of [...node.evacuated]) {
        const key = STORE_KEY.evacuations + domain;
        const remove = () => applyEvacuation(node, {key, revision: 0});
        if (!keys.has(key)) removeMissing(node, key, remove);
      }
      for (const service of [...node.orders.keys()]) {
        const key = STORE_KEY.rollouts + service;
        const remove = () => applyRollout(node, {key, revision: 0});
        if (!keys.has(key)) removeMissing(node, key, remove);
      }
      for (const item of items) applyOperatorItem(node, item);
    },
    change: item => applyOperatorItem(node, item),
  };
}

function addUpstream(node: EntryNode, registered: RegisteredUpstream): void {
  const known = node.upstreams.get(registered.id);
  const state: UpstreamState = known ?? {
    digest: hashName(registered.id),
    registered,
    coldUntil: 0,
    inFlight: 0,
    pendingWork: 0,
    streaming: 0,
    sentSinceReport: 0,
    failures: [],
    backoffUntil: 0,
    backoffMs: 0,
    sends: [],
    lastAnswerAt: 0,
    limitBucket: createShareBucket(node.clock()),
    connectedAt: -Infinity,
    failedAt: -Infinity,
    promptSegmentSentAt: new Map(),
  };
  const reborn =
    known !== undefined &&
    known.registered.incarnation !== registered.incarnation;
  if (reborn) {
    state.failures = [];
    state.backoffUntil = 0;
    state.load = undefined;
  }
  state.registered = registered;
  state.missingSince = undefined;
  node.upstreams.set(registered.id, state);
  if (registered.coldMs > 0) markCold(node, state, registered.coldMs);
  else if (reborn || (!known && node.serving)) markCold(node, state, 0);
  if (known && !reborn && registered.draining === known.registered.draining)
    return;
  const {id, service, version, failureDomain, draining, coldMs} = registered;
  node.log.info(
    {upstream: id, service, version, failureDomain, draining, coldMs, reborn},
    'upstream registered',
  );
}

/** Whether entries may have expired only because the store was unreachable. */
function isDuringOrAfterOutage(node: EntryNode): boolean {
  const returned = node.storeReturnedAt ?? -Infinity;
  return node.storeLost || node.clock() - returned < OUTAGE_RECOVERY_MS;
}

function removeUpstream(node: EntryNode, id: string): void {
  const state = node.upstreams.get(id);
  if (!state || state.missingSince !== undefined) return;
  if (!isDuringOrAfterOutage(node)) return dropUpstream(node, id);
  state.missingSince = node.clock();
  const dropMissing = () => {
    if (state.missingSince !== undefined) dropUpstream(node, id);
  };
  setTimeout(dropMissing, MISSING_GRACE_MS).unref();
  node.log.info({upstream: id}, 'upstream missing after an outage');
}

function dropUpstream(node: EntryNode, id: string): void {
  node.upstreams.delete(id);
  node.log.info({upstream: id}, 'upstream gone');
}

function applyUpstream(node: EntryNode, item: StoredItem): void {
  const id = item.key.slice(STORE_KEY.upstreams.length);
  if (!item.value) return removeUpstream(node, id);
  const registered = decodeUpstream(id, item.value);
  if (registered) return addUpstream(node, registered);
  node.log.warn(
    {key: item.key},
    'upstream entry cannot be decoded; upstream removed',
  );
  node.upstreams.delete(id);
}

/** Applies the registrations of upstreams. */
export function upstreamSubscriber(node: EntryNode): Subscriber {
  return {
    prefix: STORE_KEY.upstreams,
    reset(items) {
      const keys = new Set(items.map(({key}) => key));
      for (const id of [...node.upstreams.keys()]) {
        if (!keys.has(STORE_KEY.upstreams + id)) removeUpstream(node, id);
      }
      for (const item of items) applyUpstream(node, item);
    },
    change: item => applyUpstream(node, item),
  };
}
