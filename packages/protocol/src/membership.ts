/**
 * A node's view of its peers: the platform's VM list joined with the heartbeats
 * that nodes relay to each other. This is soft state without consensus.
 */

/**
 * Age of the last heartbeat above which a listed peer is not considered live.
 */
export const HEARTBEAT_TIMEOUT_MS = 4_000;

/** An entry of the platform's VM list. */
export interface ListedVm {
  readonly node: string;
  /** host:port of the peer listener. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** A node's report of its own state; peers relay it with its age updated. */
export interface Heartbeat {
  readonly node: string;
  /**
   * Start time of the process in milliseconds; a later one supersedes others.
   */
  readonly incarnation: number;
  /** Increases with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly revision: number;
  /** Milliseconds since the node last knew its revision to be the newest. */
  readonly confirmedAgeMs: number;
  readonly storeReachable: boolean;
  readonly stopping: boolean;
  /** Milliseconds since the node itself sent the heartbeat. */
  readonly ageMs: number;
}

/**
 * A heartbeat with a lower bound of the local time at which its node sent it.
 */
export interface ReceivedHeartbeat {
  readonly heartbeat: Heartbeat;
  /** Local monotonic milliseconds. */
  readonly sentAt: number;
}

/** Everything that a node knows about its peers, without the node itself. */
export interface Membership {
  readonly self: string;
  readonly listed: ReadonlyMap<string, ListedVm>;
  readonly heartbeats: ReadonlyMap<string, ReceivedHeartbeat>;
}

/** Creates a membership without peers. */
export function createMembership(self: string): Membership {
  return {self, listed: new Map(), heartbeats: new Map()};
}

/** Replaces the VM list and drops heartbeats of nodes that it does not list. */
export function applyVmList(
  membership: Membership,
  vms: readonly ListedVm[],
): Membership {
  const listed = new Map<string, ListedVm>();
  for (const vm of vms) {
    if (vm.node !== membership.self) listed.set(vm.node, vm);
  }
  const heartbeats = new Map<string, ReceivedHeartbeat>();
  for (const [node, last] of membership.heartbeats) {
    if (listed.has(node)) heartbeats.set(node, last);
  }
  return {...membership, listed, heartbeats};
}

function isNewer(heartbeat: Heartbeat, known: Heartbeat): boolean {
  if (heartbeat.incarnation !== known.incarnation)
    return heartbeat.incarnation > known.incarnation;
  return heartbeat.sequence > known.sequence;
}

/**
 * Merges heartbeats in any order; older ones are ignored. `askedAt` is the time
 * at which the request for them was sent: a heartbeat of age zero was sent at
 * that time or later, so no heartbeat is taken to be younger than it is.
 */
export function mergeHeartbeats(
  membership: Membership,
  received: readonly Heartbeat[],
  askedAt: number,
): Membership {
  const heartbeats = new Map(membership.heartbeats);
  for (const heartbeat of received) {
    if (heartbeat.node === membership.self) continue;
    const known = heartbeats.get(heartbeat.node);
    if (known && !isNewer(heartbeat, known.heartbeat)) continue;
    heartbeats.set(heartbeat.node, {
      heartbeat,
      sentAt: askedAt - heartbeat.ageMs,
    });
  }
  return {...membership, heartbeats};
}

/**
 * Returns the heartbeats to relay, without expired ones. Their ages include the
 * time that they have spent at this node.
 */
export function collectHeartbeats(
  membership: Membership,
  now: number,
): Heartbeat[] {
  const heartbeats: Heartbeat[] = [];
  for (const {heartbeat, sentAt} of membership.heartbeats.values()) {
    const ageMs = Math.max(0, Math.round(now - sentAt));
    if (ageMs > HEARTBEAT_TIMEOUT_MS) continue;
    heartbeats.push({...heartbeat, ageMs});
  }
  return heartbeats;
}

/** Whether a peer has a recent heartbeat and is not stopping. */
export function isLive(
  membership: Membership,
  node: string,
  now: number,
): boolean {
  const last = membership.heartbeats.get(node);
  if (!last || last.heartbeat.stopping) return false;
  return now - last.sentAt <= HEARTBEAT_TIMEOUT_MS;
}

/** Returns the live peers and the node itself, sorted by name. */
export function listLiveNodes(membership: Membership, now: number): string[] {
  const nodes = [membership.self];
  for (const [node, vm] of membership.listed) {
    if (vm.state === 'live' && isLive(membership, node, now)) nodes.push(node);
  }
  return nodes.sort();
}
