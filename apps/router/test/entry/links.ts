/** Nodes whose links to the store and to each other can be cut, for tests. */
import {createEntry, type Entry} from '@parsleyarch/router/entry/serve';
import {
  startProxy,
  type Direction,
  type FaultProxy,
} from '@parsleyarch/standins/proxy';
import type {ExecutionContext} from 'ava';
import {
  closeSite,
  configure,
  route,
  settingsFor,
  startSite,
  until,
  type Site,
} from './site.js';

const STORE_TIMEOUT_MS = 1_000;

/** A node and the links on which it makes and receives calls. */
export interface LinkedNode {
  readonly entry: Entry;
  /** Link to the store. */
  readonly store: FaultProxy;
  /** Links to the other nodes, by name. */
  readonly peers: ReadonlyMap<string, FaultProxy>;
}

export interface LinkedSite {
  readonly site: Site;
  readonly nodes: readonly LinkedNode[];
}

const portOf = (address: string) => Number(address.split(':').at(-1));

const nameOf = ({node}: Entry) => node.settings.node;

async function linkNode(
  entry: Entry,
  entries: readonly Entry[],
  store: FaultProxy,
): Promise<LinkedNode> {
  const peers = new Map<string, FaultProxy>();
  for (const other of entries) {
    if (other === entry) continue;
    const link = await startProxy(portOf(other.node.settings.peers));
    peers.set(nameOf(other), link);
  }
  // Registered addresses are replaced by those of the links.
  const {members} = entry.node;
  const set = members.set.bind(members);
  members.set = (name, member) => {
    const link = peers.get(name);
    const address = link ? `127.0.0.1:${link.port}` : member.address;
    return set(name, {...member, address});
  };
  return {entry, store, peers};
}

/**
 * Starts nodes that belong to the failure domains by turns. The first node of each
 * domain watches the store, and the others follow it.
 */
export async function startLinkedSite(
  t: ExecutionContext,
  domainCount: number,
  nodeCount: number,
): Promise<LinkedSite> {
  const site = await startSite(2);
  const nodes: LinkedNode[] = [];
  const stores: FaultProxy[] = [];
  t.teardown(async () => {
    await closeSite(site);
    for (const {store, peers} of nodes) {
      for (const link of [store, ...peers.values()]) await link.close();
    }
  });
  configure(site, [route()]);
  for (let index = 0; index < nodeCount; index += 1) {
    const store = await startProxy(portOf(site.store.server.address));
    stores.push(store);
    const settings = await settingsFor(site.store, `node-${index + 1}`, {
      failureDomain: `domain-${index % domainCount}`,
      store: {address: store.address, timeoutMs: STORE_TIMEOUT_MS},
    });
    site.entries.push(createEntry(settings));
  }
  for (const [index, entry] of site.entries.entries())
    nodes.push(await linkNode(entry, site.entries, stores[index]));
  await Promise.all(site.entries.map(entry => entry.start()));
  // The members decide which nodes follow which.
  await until(() =>
    site.entries.every(
      ({node}) =>
        node.members.size === nodeCount && node.peers.client !== undefined,
    ),
  );
  return {site, nodes};
}

/** Links between a node and the other nodes, in both directions. */
export function peerLinksOf(
  {nodes}: LinkedSite,
  {entry, peers}: LinkedNode,
): FaultProxy[] {
  const toNode = nodes.flatMap(other => other.peers.get(nameOf(entry)) ?? []);
  return [...peers.values(), ...toNode];
}

export function linksOf(linked: LinkedSite, node: LinkedNode): FaultProxy[] {
  return [node.store, ...peerLinksOf(linked, node)];
}

/** Directions that are dropped on links now; a direction may stand several times. */
const dropped = new WeakMap<FaultProxy, Direction[]>();

/** Drops directions of links; returns a function that ends this drop. */
export function cutLinks(
  links: Iterable<FaultProxy>,
  directions: readonly Direction[],
): () => void {
  const cut = [...new Set(links)];
  for (const link of cut) {
    dropped.set(link, [...(dropped.get(link) ?? []), ...directions]);
    link.drop(dropped.get(link)!);
  }
  return () => {
    for (const link of cut) {
      const left = dropped.get(link)!;
      for (const direction of directions)
        left.splice(left.indexOf(direction), 1);
      link.drop(left);
    }
  };
}
