/** Tests of a node that is near the limits of its machine. */
import {isReady} from '@parsleyarch/router/entry/freshness';
import {collectLoad} from '@parsleyarch/router/entry/load-exchange';
import type {Entry} from '@parsleyarch/router/entry/serve';
import test, {type ExecutionContext} from 'ava';
import '../exit.js';
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

/** Nodes of the failure domain of which one may be withdrawn. */
const NODE_COUNT = 12;
const PLAY_MS = 7_000;

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

function block(ms: number): void {
  const end = performance.now() + ms;
  while (performance.now() < end);
}

/** Starts a node among registered ones that only report. */
async function start(t: ExecutionContext): Promise<[Site, Entry]> {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route({goal_ms: 2_000})]);
  for (let index = 1; index < NODE_COUNT; index += 1)
    site.store.put(`router/nodes/other-${index}`, {
      address: '127.0.0.1:1',
      failureDomain: 'gulberg',
    });
  const entry = await startNode(site);
  await until(() => entry.node.members.size === NODE_COUNT);
  return [site, entry];
}

/** Reports of the other nodes; those of an earlier release tell no pressure. */
function report({node}: Entry, pressedCount: number): void {
  for (let index = 1; index < NODE_COUNT; index += 1) {
    const name = `other-${index}`;
    const isPressed = index <= pressedCount ? true : undefined;
    collectLoad(node, {
      node: name,
      loads: [],
      isGroup: false,
      leaving: [],
      statements: [],
      cutOff: [{node: name, services: [], isPressed}],
      crashDigest: 0,
      crashes: [],
    });
  }
}

/** Keeps the event loop busy for a measurement. */
async function press(entry: Entry, pressedCount: number): Promise<void> {
  report(entry, pressedCount);
  block(240);
  await pause(5);
}

/** Keeps the event loop busy; returns how long the node was not ready. */
async function play(entry: Entry, pressedCount: number): Promise<number> {
  const end = performance.now() + PLAY_MS;
  let unreadyMs = 0;
  while (performance.now() < end) {
    const before = performance.now();
    await press(entry, pressedCount);
    if (!isReady(entry.node)) unreadyMs += performance.now() - before;
  }
  return unreadyMs;
}

test.serial(
  'a node under pressure is not ready for a moment while its domain has room',
  async t => {
    const [, entry] = await start(t);
    t.true(isReady(entry.node));
    t.true((await play(entry, 1)) > 1_000);
    await until(() => isReady(entry.node));
    t.is(await play(entry, 1), 0);
  },
);

test.serial(
  'a node under pressure stays ready while half of its domain is',
  async t => {
    const [, entry] = await start(t);
    t.is(await play(entry, NODE_COUNT / 2), 0);
    t.not(entry.node.pressure.current.cause, undefined);
  },
);

/** A request that is read late by a node under pressure. */
async function callLate(
  entry: Entry,
  pressedCount: number,
): ReturnType<typeof call> {
  while (!entry.node.pressure.current.cause) await press(entry, pressedCount);
  entry.node.turns.queue.turnMs = 300;
  const onConnect = () => block(400);
  return call(entry, {
    onSent: sent =>
      sent.once('socket', socket => socket.once('connect', onConnect)),
  });
}

test.serial(
  'a node that is behind refuses what another serves in time, and runs none of it',
  async t => {
    const [site, entry] = await start(t);
    const answer = await callLate(entry, 1);
    t.is(answer.status, 503);
    t.is(answer.headers['retry-after'], '0.05');
    t.is(site.runners[0].requests.length, 0);
  },
);

test.serial(
  'a node that is behind serves its callers while no other has room',
  async t => {
    const [, entry] = await start(t);
    t.is((await callLate(entry, NODE_COUNT - 1)).status, 200);
  },
);

test.serial(
  'nodes register their cores, and one whose cores are odd is still a member',
  async t => {
    const site = await startSite(1);
    t.teardown(() => closeSite(site));
    configure(site, [route()]);
    const machine = {processorShare: 0.3, cores: 2};
    const {node} = await startNode(site, {machine});
    for (const [name, cores] of [
      ['odd', 'many'],
      ['negative', -1],
      ['earlier', undefined],
    ])
      site.store.put(`router/nodes/${name}`, {
        address: '127.0.0.1:1',
        failureDomain: 'gulberg',
        cores,
      });
    await until(() => node.members.size === 4);
    t.is(node.members.get(node.settings.node)?.cores, 0.6);
    for (const name of ['odd', 'negative', 'earlier'])
      t.is(node.members.get(name)?.cores, undefined);
  },
);

test.serial('nodes hear of each other that they are withdrawn', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  const nodes = [await startNode(site), await startNode(site)];
  const [first, second] = nodes.map(({node}) => node);
  for (const [node, other] of [
    [first, second],
    [second, first],
  ]) {
    node.pressure.withdrawal.withdrawnAt = node.clock();
    await until(() =>
      other.load.cutOff.some(
        ({node: name, isWithdrawn}) =>
          name === node.settings.node && isWithdrawn === true,
      ),
    );
  }
  t.pass();
});
