/**
 * Property test of what a node knows of the store: random changes, compactions,
 * restorations, relays and restarts. A node that holds a confirmation of some time
 * must know every configuration that was acknowledged before.
 */
import {operatorSubscriber} from '@parsleyarch/router/entry/directory';
import {
  reportConfirmation,
  serveFollower,
} from '@parsleyarch/router/entry/feed';
import {createEntryNode, type EntryNode} from '@parsleyarch/router/entry/node';
import {
  applyConfirmation,
  applyRelayedChanges,
} from '@parsleyarch/router/entry/sources';
import {pollStore} from '@parsleyarch/router/entry/store-calls';
import {startKeyspace, type KeyspaceCopy} from '@parsleyarch/standins/keyspace';
import {closeKeyspace} from '@parsleyarch/store/keyspace';
import type {Changes} from '@parsleyarch/peer/messages';
import test from 'ava';
import fc from 'fast-check';
import {configure, route, settingsFor, type Site} from './site.js';

const NODE_COUNT = 3;
/** Time by which a confirmation may be younger than its calls, milliseconds. */
const ROUNDING_MS = 0.5;

/** A configuration, with the times of its acknowledgement by the nodes' clocks. */
interface Acknowledged {
  readonly version: number;
  readonly at: readonly number[];
}

/** A relayed answer that its receiver has not applied yet. */
interface Relayed {
  readonly changes: Changes;
  readonly sentAt: number;
}

const index = fc.nat(NODE_COUNT - 1);
const step = fc.oneof(
  {weight: 4, arbitrary: fc.record({kind: fc.constant('configure' as const)})},
  {weight: 3, arbitrary: fc.record({kind: fc.constant('write' as const)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('compact' as const)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('copy' as const)})},
  {weight: 1, arbitrary: fc.record({kind: fc.constant('restore' as const)})},
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('poll' as const), node: index}),
  },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('ask' as const),
      node: index,
      source: index,
    }),
  },
  {
    weight: 8,
    arbitrary: fc.record({kind: fc.constant('apply' as const), node: index}),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('confirm' as const),
      node: index,
      source: index,
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({kind: fc.constant('restart' as const), node: index}),
  },
);
type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

test('a confirmation never covers a configuration that the node does not know', async t => {
  const template = await settingsFor(
    {server: {address: 'http://127.0.0.1:1'}} as never,
    'node',
    {configuration: {applyMs: 4}},
  );
  const run = async (steps: readonly Step[]) => {
    const store = await startKeyspace();
    const site: Site = {store, runners: [], entries: []};
    const create = (name: string): EntryNode => {
      const address = store.server.address;
      const node = createEntryNode({
        ...template,
        node: name,
        store: {address, timeoutMs: 500},
      });
      node.feed.subscribers.push(operatorSubscriber(node));
      return node;
    };
    const nodes = Array.from({length: NODE_COUNT}, (_, i) => create(`n${i}`));
    const relayed = new Map<number, Relayed>();
    let acknowledged: Acknowledged[] = [];
    let writes = 0;
    let copy: {state: KeyspaceCopy; version: number} | undefined;
    let newest = 0;
    const write = () => {
      configure(site, [route()]);
      const {value = ''} = store.items.get('op/config')!;
      newest = JSON.parse(Buffer.from(value, 'base64').toString()).version;
      const at = nodes.map(node => node.continuousClock());
      acknowledged.push({version: newest, at});
    };
    const handlers = {
      configure: write,
      write: () => void store.put(`op/other${(writes += 1) % 30}`, {writes}),
      compact: () => {
        store.compactedRevision = store.revision;
      },
      copy: () => {
        copy = {state: store.copy(), version: newest};
      },
      restore: () => {
        if (!copy) return;
        const {state, version} = copy;
        store.restore(state);
        store.compactedRevision = 0;
        // Operators write again what is lost, as the same version, a moment later.
        acknowledged = acknowledged.filter(entry => entry.version <= version);
      },
      poll: async ({node}: {node: number}) => {
        if (!relayed.has(node)) await pollStore(nodes[node]);
      },
      ask: async ({node, source}: {node: number; source: number}) => {
        const {feed, continuousClock} = nodes[node];
        if (node === source || feed.revision === undefined) return;
        if (relayed.has(node) || nodes[node].following.mustReadAll) return;
        const sentAt = continuousClock();
        const {era, revision} = feed;
        try {
          const asked = {era, revision, waitMs: 0};
          const changes = await serveFollower(nodes[source], asked);
          relayed.set(node, {changes, sentAt});
        } catch {
          // The source knows less; a follower skips it.
        }
      },
      apply: ({node}: {node: number}) => {
        const answer = relayed.get(node);
        relayed.delete(node);
        if (answer)
          applyRelayedChanges(nodes[node], answer.changes, answer.sentAt);
      },
      confirm: ({node, source}: {node: number; source: number}) => {
        const sentAt = nodes[node].continuousClock();
        applyConfirmation(
          nodes[node],
          reportConfirmation(nodes[source]),
          sentAt,
        );
      },
      restart: ({node}: {node: number}) => {
        relayed.delete(node);
        closeKeyspace(nodes[node].keyspace);
        nodes[node] = create(`n${node}`);
        acknowledged = acknowledged.map(({version, at}) => ({
          version,
          at: at.map((time, i) =>
            i === node ? nodes[node].continuousClock() : time,
          ),
        }));
      },
    };
    const check = () =>
      nodes.every(({confirmedAt = -Infinity, routes}, i) => {
        const known = routes?.table.version ?? 0;
        return acknowledged.every(
          ({version, at}) =>
            at[i] >= confirmedAt - ROUNDING_MS || known >= version,
        );
      });
    let sound = true;
    write();
    for (const each of steps) {
      await handlers[each.kind](each as never);
      sound &&= check();
    }
    // With no further change, every node ends up with the store's state.
    relayed.clear();
    for (const node of nodes) {
      node.following.storeFailing = false;
      for (let poll = 0; poll < 3; poll += 1) await pollStore(node);
      const known = [...node.feed.items].map(([key, item]) => [
        key,
        item.revision,
      ]);
      const stored = [...store.items].map(([key, {rev}]) => [key, rev]);
      sound &&=
        JSON.stringify(known.sort()) === JSON.stringify(stored.sort()) &&
        node.feed.era === store.era;
      closeKeyspace(node.keyspace);
    }
    await store.close();
    return sound;
  };
  await fc.assert(
    fc.asyncProperty(fc.array(step, {minLength: 10, maxLength: 60}), run),
    {
      numRuns: Number(process.env['FEED_RUNS'] ?? 60),
      seed: Number(process.env['FEED_SEED'] ?? 24),
    },
  );
  t.pass();
});
