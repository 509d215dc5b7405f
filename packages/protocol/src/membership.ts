/**
 * What a node knows of its peers: the platform's VM list joined with the
 * heartbeats that nodes pass on. Soft state; nothing here is agreed.
 */

/** Silence after which a listed peer is no longer counted on. */
export const HEARD_BOUND_MS = 4_000;

/** One VM as the platform lists it. */
export interface ListedVm {
  readonly node: string;
  /** host:port of the peer listener. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'live' | 'leaving';
}

/** What a node says of itself; passed on by others with a growing age. */
export interface Heartbeat {
  readonly node: string;
  /** Start time of the process, milliseconds; a later one replaces the node. */
  readonly incarnation: number;
  /** Grows with each heartbeat of an incarnation. */
  readonly sequence: number;
  readonly revision: number;
  /** Milliseconds since the node last knew its revision to be the newest. */
  readonly confirmedAgeMs: number;
  readonly storeReachable: boolean;
  readonly stopping: boolean;
  /** Milliseconds since the node itself sent this. */
  readonly ageMs: number;
}

/** A heartbeat with the local time at which its node must have sent it. */
export interface HeardBeat {
  readonly beat: Heartbeat;
  /** Local monotonic milliseconds. */
  readonly sentAt: number;
}

/** Everything known of the peers, without the node itself. */
export interface Membership {
  readonly self: string;
  readonly listed: ReadonlyMap<string, ListedVm>;
  readonly beats: ReadonlyMap<string, HeardBeat>;
}

/** A membership that knows nobody yet. */
export function createMembership(self: string): Membership {
  return {self, listed: new Map(), beats: new Map()};
}

/** Takes over a new VM list and forgets nodes that it no longer holds. */
export function applyVmList(
  membership: Membership,
  vms: readonly ListedVm[],
): Membership {
  const listed = new Map<string, ListedVm>();
  for (const vm of vms) {
    if (vm.node !== membership.self) listed.set(vm.node, vm);
  }
  const beats = new Map<string, HeardBeat>();
  for (const [node, heard] of membership.beats) {
    if (listed.has(node)) beats.set(node, heard);
  }
  return {...membership, listed, beats};
}

function isNewer(beat: Heartbeat, known: Heartbeat): boolean {
  if (beat.incarnation !== known.incarnation)
    return beat.incarnation > known.incarnation;
  return beat.sequence > known.sequence;
}

/**
 * Merges heartbeats in any order; older ones change nothing. `askedAt` is when
 * the answer that carries them was asked for: a beat of age zero was sent at
 * that time or later, so ages are never taken for smaller than they are.
 */
export function hear(
  membership: Membership,
  received: readonly Heartbeat[],
  askedAt: number,
): Membership {
  const beats = new Map(membership.beats);
  for (const beat of received) {
    if (beat.node === membership.self) continue;
    const known = beats.get(beat.node);
    if (known && !isNewer(beat, known.beat)) continue;
    beats.set(beat.node, {beat, sentAt: askedAt - beat.ageMs});
  }
  return {...membership, beats};
}

/** Heartbeats to pass on, aged by the time they were held here. */
export function digest(membership: Membership, now: number): Heartbeat[] {
  const beats: Heartbeat[] = [];
  for (const {beat, sentAt} of membership.beats.values()) {
    const ageMs = Math.max(0, Math.round(now - sentAt));
    if (ageMs > HEARD_BOUND_MS) continue;
    beats.push({...beat, ageMs});
  }
  return beats;
}

/** Whether a peer was heard of lately and is not on its way out. */
export function isLive(
  membership: Membership,
  node: string,
  now: number,
): boolean {
  const heard = membership.beats.get(node);
  if (!heard || heard.beat.stopping) return false;
  return now - heard.sentAt <= HEARD_BOUND_MS;
}

/** Live peers and the node itself, in name order. */
export function liveNodes(membership: Membership, now: number): string[] {
  const nodes = [membership.self];
  for (const [node, vm] of membership.listed) {
    if (vm.state === 'live' && isLive(membership, node, now)) nodes.push(node);
  }
  return nodes.sort();
}
