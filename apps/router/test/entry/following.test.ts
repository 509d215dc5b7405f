import {
  acceptsKeys,
  confirmationAge,
  isReady,
} from '@parsleyarch/router/entry/freshness';
import {
  applyChanges,
  replaceItems,
  serveFollower,
} from '@parsleyarch/router/entry/feed';
import {createFeed} from '@parsleyarch/router/entry/feed';
import type {Entry} from '@parsleyarch/router/entry/serve';
import {StoreBehavior} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Site,
} from './site.js';

const TENANTS = {tenants: [{name: 'c1', api_keys: ['k1']}]};
const WITH_KEY = {headers: {authorization: 'Bearer k1'}};

/** Four nodes in one failure domain: two watch the store, two follow them. */
async function withFollowers(
  t: {teardown(fn: () => Promise<void>): void},
  run: (site: Site, followers: Entry[]) => Promise<void>,
): Promise<void> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route()], TENANTS);
  for (let i = 0; i < 4; i += 1) await startNode(site);
  const followers = site.entries.slice(2);
  const watchers = ['node-1', 'node-2'];
  await until(() =>
    followers.every(
      ({node: {members, following}}) =>
        members.size === 4 &&
        following.skipped.size === 0 &&
        watchers.includes(following.source ?? ''),
    ),
  );
  await run(site, followers);
}

const watchCallCount = (entry: Entry) =>
  entry.node.keyspace.calls.get('watch') ?? 0;

test('a follower receives changes without watching the store', async t =>
  withFollowers(t, async (site, [follower]) => {
    const before = watchCallCount(follower);
    configure(site, [route({path_prefix: '/b/'})], TENANTS);
    const pathPrefix = () => follower.node.routes?.table.routes[0].pathPrefix;
    await until(() => pathPrefix() === '/b/');
    site.store.put('op/evacuate/gulberg', {});
    await until(() => follower.node.evacuated.has('gulberg'));
    site.store.remove('op/evacuate/gulberg');
    await until(() => follower.node.evacuated.size === 0);
    t.is(watchCallCount(follower), before);
    t.true(isReady(follower.node));
  }));

test('a follower switches to another watcher when its source stops', async t =>
  withFollowers(t, async (site, [follower]) => {
    const source = follower.node.following.source!;
    const index = site.entries.findIndex(
      ({node}) => node.settings.node === source,
    );
    site.entries[index].node.settings.stop.graceSeconds = 0;
    await site.entries[index].stop();
    const changedAt = performance.now();
    configure(site, [route({path_prefix: '/c/'})], TENANTS);
    await until(
      () => follower.node.routes?.table.routes[0].pathPrefix === '/c/',
    );
    t.true(performance.now() - changedAt < 1_500);
    t.not(follower.node.following.source, source);
  }));

/** Starts a server that accepts connections and never responds. */
async function startUnresponsive(t: ExecutionContext): Promise<URL> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => sockets.add(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.close();
    for (const socket of sockets) socket.destroy();
  });
  const {port} = server.address() as AddressInfo;
  return new URL(`http://127.0.0.1:${port}`);
}

test('a change arrives in time when the store does not answer a watcher', async t =>
  withFollowers(t, async (site, [follower]) => {
    const source = follower.node.following.source!;
    const watcher = site.entries.find(
      ({node}) => node.settings.node === source,
    )!;
    const unresponsive = await startUnresponsive(t);
    Object.assign(watcher.node.keyspace, {address: unresponsive});
    // The pending watch may still return a change.
    await new Promise(resolve => setTimeout(resolve, 600));
    const changedAt = performance.now();
    configure(site, [route({path_prefix: '/d/'})], TENANTS);
    const knows = ({node}: Entry) =>
      node.routes?.table.routes[0].pathPrefix === '/d/';
    await until(() => knows(follower));
    t.true(performance.now() - changedAt < 1_300);
    await until(() => knows(watcher));
    t.true(acceptsKeys(watcher.node));
  }));

for (const silent of [1, 2, 3])
  test(`a change arrives in time when ${silent} of 3 watchers fall silent at once`, async t => {
    const site = await startSite(1);
    t.teardown(() => closeSite(site));
    configure(site, [route()], TENANTS);
    const {node: follower} = await startNode(site);
    for (let i = silent; i < 3; i += 1)
      await startNode(site, {node: `a-${i}`, failureDomain: `x-${i}`});
    await until(() => follower.peers.client !== undefined);
    const {host} = await startUnresponsive(t);
    for (let i = 0; i < silent; i += 1) {
      const failureDomain = i === 0 ? 'gulberg' : `x-${i}`;
      const member = {address: host, failureDomain};
      site.store.put(`router/nodes/a-${i}`, member);
    }
    await until(() => follower.members.size === 4);
    // The node now calls the first of its sources.
    await new Promise(resolve => setTimeout(resolve, 600));
    const changedAt = performance.now();
    configure(site, [route({path_prefix: '/e/'})], TENANTS);
    await until(() => follower.routes?.table.routes[0].pathPrefix === '/e/');
    t.true(
      performance.now() - changedAt < follower.settings.configuration.applyMs,
    );
  });

test('a follower refuses keys once its sources have lost the store', async t =>
  withFollowers(t, async (site, [follower]) => {
    t.is((await call(follower, {path: '/a/x', ...WITH_KEY})).status, 200);
    site.store.behavior = StoreBehavior.unresponsive;
    const lostAt = performance.now();
    await until(() => !acceptsKeys(follower.node));
    t.true(performance.now() - lostAt < 5_000);
    t.is((await call(follower, {path: '/a/x', ...WITH_KEY})).status, 503);
    site.store.behavior = StoreBehavior.normal;
    await until(() => acceptsKeys(follower.node));
  }));

test('the age of a confirmation does not decrease when it is relayed', async t =>
  withFollowers(t, async (site, [follower]) => {
    const watchers = site.entries.slice(0, 2);
    // Before it followed, the follower called the store itself; each watcher
    // completes a call that it sends after that.
    const known = watchers.map(watchCallCount);
    await until(() =>
      watchers.every((entry, i) => watchCallCount(entry) >= known[i] + 2),
    );
    site.store.behavior = StoreBehavior.unresponsive;
    const end = performance.now() + 2_000;
    while (performance.now() < end) {
      const youngest = Math.min(
        ...watchers.map(({node}) => confirmationAge(node)),
      );
      const states = site.entries.map(entry => ({
        age: confirmationAge(entry.node),
        watchCalls: watchCallCount(entry),
      }));
      t.true(
        confirmationAge(follower.node) >= youngest - 5,
        JSON.stringify(states),
      );
      await new Promise(resolve => setTimeout(resolve, 20));
    }
  }));

test('a follower that is far behind gets all items', async t =>
  withFollowers(t, async (site, [follower]) => {
    const {node} = site.entries[0];
    const answer = await serveFollower(node, {
      era: 0,
      revision: 0,
      waitMs: 0,
    });
    t.true(answer.whole);
    t.is(answer.items.length, node.feed.items.size);
    t.true(answer.confirmedAgeMs < 3_000);
    const next = await serveFollower(node, {
      era: 0,
      revision: answer.revision,
      waitMs: 10,
    });
    t.false(next.whole);
    t.deepEqual(next.items, []);
    t.truthy(follower);
  }));

const LARGE_BYTES = 900_000;

/** Puts a configuration of nearly the largest size into force. */
function configureLarge(site: Site, pathPrefix: string): void {
  const notes = 'x'.repeat(LARGE_BYTES);
  configure(site, [route({path_prefix: pathPrefix})], {...TENANTS, notes});
}

test.serial(
  'a follower gets many changes of a large configuration from its source',
  async t =>
    withFollowers(t, async (site, [follower]) => {
      const before = watchCallCount(follower);
      for (let change = 0; change < 8; change += 1)
        configureLarge(site, `/large-${change}/`);
      const pathPrefix = () => follower.node.routes?.table.routes[0].pathPrefix;
      await until(() => pathPrefix() === '/large-7/');
      t.is(watchCallCount(follower), before);
    }),
);

test.serial(
  'a follower gets all items from its source although they are large',
  async t =>
    withFollowers(t, async (site, [follower]) => {
      const before = watchCallCount(follower);
      const notes = 'x'.repeat(LARGE_BYTES);
      for (let key = 0; key < 6; key += 1) {
        site.store.put(`op/large-${key}`, {notes});
        await until(() => follower.node.feed.items.has(`op/large-${key}`));
      }
      for (const {node} of site.entries)
        node.feed.recentSince = node.feed.revision!;
      follower.node.feed.revision = 1;
      configureLarge(site, '/after-all/');
      const pathPrefix = () => follower.node.routes?.table.routes[0].pathPrefix;
      await until(() => pathPrefix() === '/after-all/');
      t.is(watchCallCount(follower), before);
    }),
);

test.serial('changes that are superseded are not kept for followers', async t =>
  withFollowers(t, async (site, [follower]) => {
    const {feed} = site.entries[0].node;
    for (let change = 0; change < 5; change += 1) {
      const before = feed.revision!;
      configureLarge(site, `/change-${change}/`);
      await until(() => feed.revision! > before);
    }
    const kept = [...feed.recentChanges.values()];
    t.is(kept.filter(({key}) => key === 'op/config').length, 1);
    t.truthy(follower);
  }),
);

test('a feed never applies older revisions, in whatever order they arrive', t => {
  const feed = createFeed(key => t.fail(key));
  const seen: number[] = [];
  feed.subscribers.push({
    prefix: 'a',
    reset: items => items.forEach(({revision}) => seen.push(revision)),
    change: ({revision}) => void seen.push(revision),
  });
  const item = (revision: number) => ({
    key: 'a1',
    revision,
    value: Buffer.from('x'),
  });
  const era = 0;
  replaceItems(feed, {items: [item(7)], revision: 5, era});
  applyChanges(feed, {items: [item(6), item(7)], revision: 7, era});
  applyChanges(feed, {items: [item(4)], revision: 4, era});
  replaceItems(feed, {items: [item(3)], revision: 3, era});
  applyChanges(feed, {items: [item(9)], revision: 9, era});
  t.deepEqual(seen, [7, 9]);
  t.is(feed.revision, 9);
});
