/** Writes changes of the configuration, and checks that nodes apply them in time. */
import type {LinkedNode, LinkedSite} from './links.js';
import {configure, route} from './site.js';

/** Time with a path to the store after which changes must be in force in time. */
const CONTACT_MS = 3_000;
/** Time in which a change must then be in force, milliseconds. */
const APPLY_MS = 2_000;
/** Interval between two changes, milliseconds. */
const CHANGE_MS = 400;
const CHECK_MS = 10;

/** A change that a node has not applied although it must have. */
interface LateChange {
  readonly node: string;
  readonly change: number;
  /** Time since the change was acknowledged, milliseconds. */
  readonly acknowledgedMs: number;
  /** Time for which the node has had a path to the store, milliseconds. */
  readonly contactMs: number;
  /** Time beyond the bound, milliseconds. */
  lateMs: number;
}

/** Changes that are being written and checked. */
export interface CheckedChanges {
  /** Says that a node is without a sound path to the store from now on. */
  lose(node: LinkedNode): void;
  /** Says that its path has returned. */
  regain(node: LinkedNode): void;
  /** Stops writing, and lists the changes that were late. */
  stop(): LateChange[];
}

export function startChanges({site, nodes}: LinkedSite): CheckedChanges {
  const acknowledgedAt: number[] = [];
  /** Number of disruptions of a node that go on. */
  const losses = new Map<LinkedNode, number>();
  const regainedAt = new Map<LinkedNode, number>();
  const late = new Map<string, LateChange>();
  const write = () => {
    const change = acknowledgedAt.length;
    configure(site, [route({path_prefix: `/change/${change}/`})]);
    acknowledgedAt.push(performance.now());
  };
  const checkNode = (linked: LinkedNode, now: number) => {
    if ((losses.get(linked) ?? 0) > 0) return;
    const {node} = linked.entry;
    const prefix = node.routes?.table.routes[0].pathPrefix ?? '';
    const inForce = Number(prefix.match(/^\/change\/(\d+)\//)?.[1] ?? -1);
    const contactMs = now - (regainedAt.get(linked) ?? -Infinity);
    const next = acknowledgedAt.at(inForce + 1);
    if (next === undefined || inForce + 1 === acknowledgedAt.length) return;
    const acknowledgedMs = now - next;
    const lateMs = Math.min(acknowledgedMs - APPLY_MS, contactMs - CONTACT_MS);
    if (lateMs <= 0) return;
    const key = `${node.settings.node} ${inForce}`;
    const known = late.get(key);
    if (known) known.lateMs = lateMs;
    else
      late.set(key, {
        node: node.settings.node,
        change: inForce + 1,
        acknowledgedMs,
        contactMs,
        lateMs,
      });
  };
  write();
  const writing = setInterval(write, CHANGE_MS);
  const checking = setInterval(() => {
    const now = performance.now();
    for (const linked of nodes) checkNode(linked, now);
  }, CHECK_MS);
  return {
    lose(node) {
      losses.set(node, (losses.get(node) ?? 0) + 1);
    },
    regain(node) {
      losses.set(node, (losses.get(node) ?? 0) - 1);
      regainedAt.set(node, performance.now());
    },
    stop() {
      clearInterval(writing);
      clearInterval(checking);
      return [...late.values()];
    },
  };
}
