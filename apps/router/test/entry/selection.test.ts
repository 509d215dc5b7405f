/** Tests of the choice of an upstream in a large deployment, without a network. */
import {
  findRetryRoomMs,
  findRoomMs,
  findWorkAhead,
} from '@parsleyarch/router/entry/exclusions';
import type {Exchange} from '@parsleyarch/router/entry/exchange';
import {
  createEntryNode,
  type EntryNode,
  type UpstreamState,
} from '@parsleyarch/router/entry/node';
import {
  listPromptReuse,
  recordPromptSent,
  recordWorkSent,
} from '@parsleyarch/router/entry/placing';
import {selectUpstream} from '@parsleyarch/router/entry/selection';
import {
  recordFailure,
  recordSend,
} from '@parsleyarch/router/entry/upstream-records';
import {hashName} from '@parsleyarch/policy/rendezvous';
import {startKeyspace} from '@parsleyarch/standins/keyspace';
import {createShareBucket} from '@parsleyarch/policy/shared-limit';
import test, {type ExecutionContext} from 'ava';
import {seededRandom} from '@parsleyarch/standins/measures/figures';
import {settingsFor} from './site.js';

const MEMBER_COUNT = 60;

/** A node among 60 that knows some upstreams; its clock is set by the test. */
async function createNode(t: ExecutionContext, upstreamCount: number) {
  const store = await startKeyspace();
  t.teardown(() => store.close());
  const node = createEntryNode(await settingsFor(store, 'node-0'));
  const time = {now: 100_000};
  Object.assign(node, {clock: () => time.now, random: seededRandom(1)});
  for (let index = 0; index < MEMBER_COUNT; index += 1) {
    const name = `node-${index}`;
    const member = {name, digest: hashName(name), failureDomain: 'gulberg'};
    node.members.set(name, {...member, address: '127.0.0.1:1'});
  }
  for (let index = 0; index < upstreamCount; index += 1)
    addUpstream(node, `i-${index}`);
  return {node, time};
}

function addUpstream(node: EntryNode, id: string): void {
  const state: UpstreamState = {
    digest: hashName(id),
    registered: {
      id,
      service: 'api',
      address: '127.0.0.1:1',
      failureDomain: 'gulberg',
      version: 'v1',
      draining: false,
      slots: 8,
      coldMs: 0,
      incarnation: 1,
    },
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
    limitBucket: createShareBucket(0),
    connectedAt: -Infinity,
    failedAt: -Infinity,
    promptSegmentSentAt: new Map(),
  };
  node.upstreams.set(id, state);
}

function createExchange(tried: readonly string[] = []): Exchange {
  return {
    service: 'api',
    route: {models: []},
    caller: {attemptId: 'a', promptSegments: [], promptTokens: 0},
    body: Buffer.alloc(0),
    triedUpstreams: new Set(tried),
  } as unknown as Exchange;
}

function countChosen(node: EntryNode, draws: number): Map<string, number> {
  const counts = new Map<string, number>();
  for (let draw = 0; draw < draws; draw += 1) {
    const id = selectUpstream(node, createExchange())!.upstream.registered.id;
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return counts;
}

test('an upstream that failed once is used again after some seconds', async t => {
  const {node, time} = await createNode(t, 20);
  for (let index = 0; index < 10; index += 1)
    recordFailure(node, node.upstreams.get(`i-${index}`)!);
  t.is(countChosen(node, 500).size, 10);
  time.now += 10_000;
  t.is(countChosen(node, 500).size, 20);
});

test('all upstreams are compared if every one has failed', async t => {
  const {node} = await createNode(t, 20);
  for (const state of node.upstreams.values()) recordFailure(node, state);
  t.true(countChosen(node, 200).size > 10);
});

const pause = (node: EntryNode, id: string, pauseMs: number) =>
  node.notices.set(id, {
    incarnation: 1,
    leaving: false,
    pausedUntil: node.clock() + pauseMs,
  });

test('a pause counts only if no other upstream is left for the request', async t => {
  const {node} = await createNode(t, 2);
  pause(node, 'i-0', 5_000);
  t.is(findRoomMs(node, createExchange()), 0);
  t.is(findRoomMs(node, createExchange(['i-1'])), 5_000);
  pause(node, 'i-1', 3_000);
  t.is(findRoomMs(node, createExchange()), 3_000);
});

test('a caller is told to come back sooner if its retry could use an upstream that was tried', async t => {
  const {node} = await createNode(t, 2);
  pause(node, 'i-0', 5_000);
  t.is(findRetryRoomMs(node, createExchange(['i-1'])), 0);
  pause(node, 'i-1', 3_000);
  t.is(findRetryRoomMs(node, createExchange(['i-1'])), 3_000);
});

/** Load of the other nodes at an upstream, as sums that have just arrived. */
function bringSums(node: EntryNode, pendingById: Record<string, number>): void {
  const loads = Object.entries(pendingById).map(([upstream, pending]) => ({
    upstream,
    pending,
    streaming: 0,
    inFlight: 1,
  }));
  node.load.others = new Map(loads.map(load => [load.upstream, load]));
  node.load.receivedAt = node.clock();
}

test('nodes with the same old load split their requests, also those to few upstreams', async t => {
  const {node} = await createNode(t, 5);
  bringSums(node, {'i-0': 1, 'i-1': 1.2, 'i-2': 1.4, 'i-3': 1.6, 'i-4': 1.8});
  for (let sent = 0; sent < 20; sent += 1) recordWorkSent(node, 'api', 0.2);
  const counts = countChosen(node, 100);
  t.is(counts.size, 5);
  t.true(Math.max(...counts.values()) < 30);
});

test('an upstream that is far more loaded than the others gets nothing', async t => {
  const {node} = await createNode(t, 20);
  bringSums(node, {'i-7': 50});
  t.false(countChosen(node, 200).has('i-7'));
});

test('without the load of the others, a node compares random upstreams', async t => {
  const {node, time} = await createNode(t, 20);
  bringSums(node, {'i-7': 50});
  time.now += 5_000;
  const counts = countChosen(node, 500);
  t.is(counts.size, 20);
  t.true(Math.max(...counts.values()) < 100);
});

test('operators can choose that random upstreams are compared', async t => {
  const {node} = await createNode(t, 20);
  bringSums(node, {'i-7': 50});
  const lines: Array<Record<string, unknown>> = [];
  Object.assign(node, {
    logDecision: (_decision: string, fields: Record<string, unknown>) =>
      lines.push(fields),
  });
  countChosen(node, 1);
  node.settings.balancing.oldLoad = 'sample';
  countChosen(node, 1);
  t.like(lines[0], {reason: 'level', candidates: 20});
  t.is(lines[1].reason, undefined);
  t.true(Number(lines[1].candidates) <= 5);
});

test('the work ahead of a request is that of the mean upstream by old load, of the least by young', async t => {
  const {node} = await createNode(t, 4);
  bringSums(node, {'i-0': 0, 'i-1': 4, 'i-2': 4, 'i-3': 8});
  const ahead = findWorkAhead(node, createExchange());
  t.true(ahead > 1 && ahead < 4);
  const selection = selectUpstream(node, createExchange())!;
  t.true(selection.presentWork > 1 && selection.presentWork < 6);
  node.members.clear();
  t.is(findWorkAhead(node, createExchange()), 0);
});

test('a request adds less work where every engine has the beginning of its prompt', async t => {
  const {node} = await createNode(t, 4);
  bringSums(node, {});
  const segments = ['common', 'own'].map(id => ({id, tokens: 1_000}));
  const exchange = createExchange();
  Object.assign(exchange.caller, {
    promptSegments: segments,
    promptTokens: 2_000,
  });
  const before = selectUpstream(node, exchange)!.addedWork;
  for (let sent = 0; sent < 20; sent += 1)
    recordPromptSent(node, 'api/', ['/common']);
  const after = selectUpstream(node, exchange)!.addedWork;
  t.true(after < before - 0.1);
  t.true(after > 1);
});

test('requests go to where their prompt may be cached only as far as prompts recur', async t => {
  const {node} = await createNode(t, 20);
  bringSums(node, {});
  const exchange = createExchange();
  const segments = ['shared', 'own'].map(id => ({id, tokens: 5_000}));
  Object.assign(exchange.caller, {
    promptSegments: segments,
    promptTokens: 10_000,
  });
  const choose = () => {
    const ids = new Set<string>();
    for (let draw = 0; draw < 40; draw += 1)
      ids.add(selectUpstream(node, exchange)!.upstream.registered.id);
    return ids.size;
  };
  t.true(choose() <= 2);
  const counts = {scope: 'api/', sent: 5_000};
  node.load.othersReuse = [{...counts, repeated: 2_500}];
  t.true(choose() <= 2);
  node.load.othersReuse = [{...counts, repeated: 0}];
  t.true(choose() > 10);
});

test('a retry does not count as a prompt that comes again', async t => {
  const {node} = await createNode(t, 2);
  const exchange = createExchange(['i-0']);
  const segments = ['shared', 'own'].map(id => ({id, tokens: 5_000}));
  Object.assign(exchange.caller, {promptSegments: segments});
  recordSend(node, node.upstreams.get('i-0')!, exchange);
  exchange.triedUpstreams.add('i-1');
  recordSend(node, node.upstreams.get('i-1')!, exchange);
  const [{sent, repeated}] = listPromptReuse(node);
  t.deepEqual({sent, repeated}, {sent: 1, repeated: 0});
});
