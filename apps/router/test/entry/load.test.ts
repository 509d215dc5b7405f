/** Tests of shared load and of the confirmations that travel with it. */
import type {UpstreamAnswer} from '@parsleyarch/platform/headers';
import {createRunRecord} from '@parsleyarch/policy/runs';
import type {Attempt} from '@parsleyarch/router/entry/attempt';
import type {Exchange} from '@parsleyarch/router/entry/exchange';
import {
  applySums,
  lastAnswerOf,
  listLocalLoads,
  recordReportedLoad,
  timeFactorOf,
} from '@parsleyarch/router/entry/load';
import {recordEvenness} from '@parsleyarch/router/entry/load-metrics';
import {
  createEntryNode,
  type EntryNode,
  type UpstreamState,
} from '@parsleyarch/router/entry/node';
import {awaitOutcome} from '@parsleyarch/router/entry/sending';
import {confirmationAge} from '@parsleyarch/router/entry/freshness';
import {
  applyConfirmation,
  leaveSource,
} from '@parsleyarch/router/entry/sources';
import {collectLoad} from '@parsleyarch/router/entry/load-exchange';
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

/** A report of one node on one upstream. */
const report = (node: string, changes: object = {}) => ({
  node,
  isGroup: false,
  ...NOTHING_ELSE,
  loads: [{...loadOf(0)[0], ...changes}],
});

/** Registers an upstream without a store. */
function register(node: EntryNode, id: string): UpstreamState {
  const registered = {id, service: 'api', incarnation: 1};
  const state = {registered, pendingWork: 0, streaming: 0, lastAnswerAt: 0};
  node.upstreams.set(id, state as unknown as UpstreamState);
  return node.upstreams.get(id)!;
}

test('how long work takes at an upstream is known from the answers to all nodes', async t => {
  const [collector, reader] = await createNodes(t, 2);
  const slow = {paceSum: 3_000, paceWeight: 1_000};
  collectLoad(collector, report('a', slow));
  collectLoad(collector, report('b', slow));
  // A node of an earlier release sends no readings.
  collectLoad(collector, report('c'));
  applySums(reader, collectLoad(collector, report('node-1')));
  const factor = timeFactorOf(reader, register(reader, 'i-1'));
  t.true(factor > 2.7 && factor < 3);
  t.is(timeFactorOf(reader, register(reader, 'i-2')), 1);
});

test('the latest answer of an upstream to any node is known, and no other', async t => {
  const [collector, reader] = await createNodes(t, 2);
  collectLoad(collector, report('a', {answeredAgoMs: 900}));
  collectLoad(collector, report('b', {answeredAgoMs: 300}));
  collectLoad(collector, report('c'));
  applySums(reader, collectLoad(collector, report('node-1')));
  const ago = reader.clock() - lastAnswerOf(reader, register(reader, 'i-1'));
  t.true(ago >= 300 && ago < 900);
  t.is(lastAnswerOf(reader, register(reader, 'i-2')), 0);
});

/** Whether a send to an upstream is cancelled after its time-out without an answer. */
async function isCancelled(node: EntryNode, upstream: UpstreamState) {
  let cancelled = false;
  const attempt = {
    upstream,
    startedAt: node.clock(),
    outcome: new Promise(resolve => setTimeout(resolve, 100, {kind: 'lost'})),
    cancel: () => (cancelled = true),
  } as unknown as Attempt;
  const exchange = {
    route: {objectiveMs: 40, repeatability: 'resumable'},
    service: 'api',
    runs: createRunRecord(true, 2),
    triedUpstreams: new Set(),
  } as unknown as Exchange;
  const answered = setTimeout(
    () =>
      applySums(node, {
        loads: [{...loadOf(0)[0], answeredAgoMs: 1}],
        cutOff: [],
      }),
    10,
  );
  await awaitOutcome(node, exchange, attempt);
  clearTimeout(answered);
  return cancelled;
}

test('a send waits at an upstream that answers other nodes, not at one that answers none', async t => {
  const [node] = await createNodes(t, 1);
  const answering = register(node, 'i-1');
  const silent = register(node, 'i-2');
  t.false(await isCancelled(node, answering));
  t.true(await isCancelled(node, silent));
});

test('a load that cannot be read is counted, and logged once', async t => {
  const [node] = await createNodes(t, 1);
  const warnings: unknown[] = [];
  Object.assign(node.log, {warn: (fields: unknown) => warnings.push(fields)});
  const state = register(node, 'i-1');
  const answer = {
    load: {running: 1, waiting: 0, slots: 6},
    unreadableLoad: '1,0,6,0',
  } as unknown as UpstreamAnswer;
  for (let sent = 0; sent < 5; sent += 1)
    recordReportedLoad(node, state, answer);
  t.is(state.load?.running, 1);
  t.is(warnings.length, 1);
  const {values} = await node.metrics.unreadableLoads.get();
  t.is(values[0].value, 5);
});

test('operators see how old the load of other nodes is, and how uneven', async t => {
  const [node] = await createNodes(t, 1);
  register(node, 'i-1');
  register(node, 'i-2');
  recordEvenness(node);
  const [unknown] = (await node.metrics.loadAge.get()).values;
  t.is(unknown.value, 0);
  applySums(node, {loads: loadOf(1), cutOff: [], ageMs: 500});
  recordEvenness(node);
  const [age] = (await node.metrics.loadAge.get()).values;
  t.true(age.value >= 0.5 && age.value < 1);
  const [busiest] = (await node.metrics.busiestOverMean.get()).values;
  t.is(busiest.value, 2);
});

test('a node that has started reports no answers that it has not got', async t => {
  const [node] = await createNodes(t, 1);
  const state = register(node, 'i-1');
  t.deepEqual(listLocalLoads(node), []);
  state.lastAnswerAt = node.clock();
  const [load] = listLocalLoads(node);
  t.true(load.answeredAgoMs! >= 1 && load.answeredAgoMs! < 1_000);
});

test('counts of prompts that recur are added up over the other nodes and groups', async t => {
  const [collector] = await createNodes(t, 1);
  const reuse = (sent: number, repeated: number) => ({
    promptReuse: [{scope: 's/m', sent, repeated}],
  });
  collectLoad(collector, {...report('a'), ...reuse(100, 1)});
  collectLoad(collector, {...report('b'), ...reuse(200, 2)});
  collectLoad(collector, {...report('g'), isGroup: true, ...reuse(400, 8)});
  const {promptReuse} = collectLoad(collector, {
    ...report('a'),
    ...reuse(100, 1),
  });
  t.deepEqual(promptReuse, [{scope: 's/m', sent: 600, repeated: 10}]);
  const {promptReuse: ofGroup} = collectLoad(collector, {
    ...report('g'),
    isGroup: true,
  });
  t.deepEqual(ofGroup, [{scope: 's/m', sent: 300, repeated: 3}]);
});

test('the metrics listener shows how even the load is', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  const entry = await startNode(site);
  const {node} = entry;
  await until(() => node.upstreams.size === 1);
  const response = await fetch(`http://${node.settings.metrics}/metrics`);
  t.regex(await response.text(), /busiest_over_mean\{service="api"\} 1/);
});
