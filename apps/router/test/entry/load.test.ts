/** Tests of shared load and of the confirmations that travel with it. */
import {createEntryNode, type EntryNode} from '@parsleyarch/router/entry/node';
import {confirmationAge} from '@parsleyarch/router/entry/freshness';
import {
  applyConfirmation,
  leaveSource,
} from '@parsleyarch/router/entry/sources';
import {collectLoad} from '@parsleyarch/router/entry/load';
import {startKeyspace} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import {
  closeSite,
  configure,
  route,
  settingsFor,
  startNode,
  startSite,
  until,
} from './site.js';

async function createNodes(
  t: ExecutionContext,
  count: number,
): Promise<EntryNode[]> {
  const store = await startKeyspace();
  t.teardown(() => store.close());
  const nodes: EntryNode[] = [];
  for (let index = 0; index < count; index += 1)
    nodes.push(createEntryNode(await settingsFor(store, `node-${index}`)));
  return nodes;
}

const NOTHING_ELSE = {
  leaving: [],
  statements: [],
  cutOff: [],
  crashDigest: 0,
  crashes: [],
};

const loadOf = (pending: number) => [
  {upstream: 'i-1', pending, streaming: 1, inFlight: 2},
];

test('a node gets the sum over all other nodes, also over those of other groups', async t => {
  const [first, second] = await createNodes(t, 2);
  collectLoad(first, {
    node: 'a',
    loads: loadOf(1),
    isGroup: false,
    ...NOTHING_ELSE,
  });
  collectLoad(first, {
    node: 'b',
    loads: loadOf(2),
    isGroup: false,
    ...NOTHING_ELSE,
  });
  collectLoad(second, {
    node: 'c',
    loads: loadOf(4),
    isGroup: false,
    ...NOTHING_ELSE,
  });
  collectLoad(second, {
    node: 'd',
    loads: loadOf(8),
    isGroup: false,
    ...NOTHING_ELSE,
  });
  const [ofSecond] = collectLoad(second, {
    node: 'node-0',
    loads: loadOf(3),
    isGroup: true,
    ...NOTHING_ELSE,
  }).loads;
  t.like(ofSecond, {pending: 12, streaming: 2});
  collectLoad(first, {
    node: 'node-1',
    loads: [ofSecond],
    isGroup: true,
    ...NOTHING_ELSE,
  });
  const [forA] = collectLoad(first, {
    node: 'a',
    loads: loadOf(1),
    isGroup: false,
    ...NOTHING_ELSE,
  }).loads;
  t.like(forA, {pending: 14, streaming: 3});
  const [forC] = collectLoad(second, {
    node: 'c',
    loads: loadOf(4),
    isGroup: false,
    ...NOTHING_ELSE,
  }).loads;
  t.like(forC, {pending: 11, streaming: 2});
});

test('a relayed confirmation holds only for nodes that know all its changes', async t => {
  const [node] = await createNodes(t, 1);
  node.feed.revision = 7;
  applyConfirmation(
    node,
    {era: 0, revision: 8, confirmedAgeMs: 100},
    node.continuousClock(),
  );
  t.is(confirmationAge(node), Infinity);
  applyConfirmation(
    node,
    {era: 0, revision: 7, confirmedAgeMs: 100},
    node.continuousClock(),
  );
  const age = confirmationAge(node);
  t.true(age >= 100 && age < 1_000);
  applyConfirmation(
    node,
    {era: 0, revision: 7, confirmedAgeMs: 900},
    node.continuousClock(),
  );
  t.true(confirmationAge(node) < 900);
});

test('a node follows another watcher at once when its source does not answer', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < 3; index += 1) await startNode(site);
  const {node} = site.entries[2];
  const {following, members} = node;
  await until(
    () =>
      members.size === 3 &&
      following.source !== undefined &&
      following.call?.source === following.source,
  );
  const source = following.source!;
  leaveSource(node, source, 'no answer');
  // The skip lasts for a second, which the change of the source may exceed.
  const isSkipped = () => following.skipped.has(source);
  await until(() => isSkipped() || following.source !== source);
  t.true(isSkipped());
  await until(() => following.source !== source);
});

test('a node that does not answer ends the call to it only, not one to another source', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  for (let index = 0; index < 3; index += 1) await startNode(site);
  const {node} = site.entries[2];
  const {following, members} = node;
  await until(() => members.size === 3 && following.call !== undefined);
  const {source} = following.call!;
  const other = source === 'node-1' ? 'node-2' : 'node-1';
  // The source that was current last need not be the one that is called now.
  following.source = other;
  leaveSource(node, other, 'no answer');
  await new Promise(resolve => setTimeout(resolve, 20));
  t.false(following.skipped.has(source));
  await until(() => following.call?.source === source);
  leaveSource(node, source, 'no answer');
  await until(() => following.skipped.has(source));
});
