/** Tests of the order in which requests are served, on one node. */
import {createSeal} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
} from './site.js';

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

test('sends carry an urgency by the priority and the time left', async t => {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  const urgent = {name: 'u', path_prefix: '/u/', priority: -3};
  const late = {name: 'l', path_prefix: '/l/', priority: 2, goal_ms: 1};
  configure(site, [route(urgent), route({priority: 70}), route(late)]);
  const entry = await startNode(site);
  for (const path of ['/u/x', '/a/x', '/l/x']) await call(entry, {path});
  const levels = site.runners[0].requests.map(({headers}) =>
    Number(headers['x-parsleyarch-request-urgency']),
  );
  // Priorities rank as -3, 2, 70, with two levels each; an objective of 1 ms cannot be
  // met. The second level is for those with more than half of the longest objective left.
  t.deepEqual(levels, [1, 5, 8]);
});

test('a resumed stream is as urgent as its pause objective, not as its first event', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  const stream = {kind: 'stream', resumable: true, gap_aim_ms: 1_000};
  configure(site, [route({...stream, goal_ms: 100})]);
  for (const runner of site.runners)
    runner.script = (request, response) => {
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
      });
      const isResumed = request.headers['last-event-id'] === '1';
      response.write(`id: ${isResumed ? 2 : 1}\ndata: e\n\n`);
      if (isResumed) response.end();
      else setTimeout(() => response.destroy(), 150);
    };
  const entry = await startNode(site);
  t.true((await call(entry)).complete);
  const requests = site.runners.flatMap(runner => runner.requests);
  const levels = requests.map(({headers}) => [
    headers['last-event-id'],
    headers['x-parsleyarch-request-urgency'],
  ]);
  t.deepEqual(new Map(levels as [string, string][]).get('1'), '0');
});

/** A node before one upstream that wants no requests for some time. */
async function startPaused(t: ExecutionContext, pauseMs: number) {
  const site = await startSite(1);
  t.teardown(() => closeSite(site));
  const slow = {goal_ms: 4_000, timeout_ms: 8_000};
  const urgent = {name: 'u', path_prefix: '/u/', priority: 0};
  const late = {name: 'late', path_prefix: '/late/', goal_ms: 100};
  configure(site, [
    route({...slow, ...urgent}),
    route(slow),
    route({...slow, ...late}),
  ]);
  const [upstream] = site.runners;
  const entry = await startNode(site);
  await call(entry);
  const {registered} = entry.node.upstreams.get(upstream.id)!;
  entry.node.notices.set(upstream.id, {
    incarnation: registered.incarnation,
    leaving: false,
    pausedUntil: entry.node.clock() + pauseMs,
  });
  upstream.requests.length = 0;
  const countWaiting = () => entry.node.waiting.lines.get('api')?.starts.size;
  return {entry, upstream, countWaiting};
}

test('what waits is sent by priority once there is room', async t => {
  const {entry, upstream, countWaiting} = await startPaused(t, 400);
  const calls = ['/a/1', '/a/2', '/u/3'].map(path => call(entry, {path}));
  await until(() => countWaiting() === 3);
  for (const {status} of await Promise.all(calls)) t.is(status, 200);
  t.is(upstream.requests[0].path, '/u/3');
  t.is(countWaiting(), 0);
});

test('a caller that leaves gives up its place at once', async t => {
  const {entry, upstream, countWaiting} = await startPaused(t, 400);
  let leave = () => {};
  const left = call(entry, {
    path: '/u/1',
    onSent: request => (leave = () => request.destroy()),
  });
  const stays = call(entry, {path: '/a/2'});
  await until(() => countWaiting() === 2);
  leave();
  await left;
  await until(() => countWaiting() === 1);
  t.is((await stays).status, 200);
  t.deepEqual(
    upstream.requests.map(({path}) => path),
    ['/a/2'],
  );
});

test('a request that comes while others wait does not overtake them', async t => {
  const {entry, upstream, countWaiting} = await startPaused(t, 200);
  const first = call(entry, {path: '/a/1'});
  await until(() => countWaiting() === 1);
  entry.node.notices.clear();
  await Promise.all([first, call(entry, {path: '/a/2'})]);
  t.deepEqual(
    upstream.requests.map(({path}) => path),
    ['/a/1', '/a/2'],
  );
});

test('a service that has lost all upstreams refuses at once, to come back late', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({goal_ms: 4_000, timeout_ms: 6_000})]);
  const entry = await startNode(site);
  t.is((await call(entry)).status, 200);
  const [first] = site.runners;
  first.register({state: 'draining', seq: 2});
  const isDraining = () =>
    entry.node.upstreams.get(first.id)?.registered.draining === true;
  await until(isDraining);
  entry.node.evacuated.add('gulberg');
  const headers = {'x-parsleyarch-deadline-ms': '6000'};
  const refused = await call(entry, {headers});
  t.is(refused.status, 503);
  // An eighth of the objective is what a request may wait where there may be room.
  t.true(refused.tookMs < 400, `${refused.tookMs}`);
  const retryAfter = Number(refused.headers['retry-after']);
  t.true(retryAfter >= 0.9 && retryAfter <= 2, `${retryAfter}`);
  t.is(site.runners.flatMap(({requests}) => requests).length, 1);
});

/** A node that knows its only upstream, of 8 slots, as full for some time. */
async function startFull(t: ExecutionContext, serviceMs: number) {
  const {entry, upstream, countWaiting} = await startPaused(t, 0);
  const {node} = entry;
  node.serviceMs.set('api', serviceMs);
  const state = node.upstreams.get(upstream.id)!;
  state.inFlight += 40;
  return {entry, upstream, countWaiting, state};
}

test('a request that would be late is held for more urgent ones, and sent when there is room', async t => {
  const {entry, upstream, countWaiting, state} = await startFull(t, 400);
  await Promise.race([call(entry, {path: '/u/1'}), wait(50)]);
  const headers = {'x-parsleyarch-deadline-ms': '8000'};
  const held = call(entry, {path: '/late/2', headers});
  await until(() => countWaiting() === 1);
  state.inFlight -= 40;
  t.is((await held).status, 200);
  t.is(upstream.requests.at(-1)?.path, '/late/2');
});

test('what cannot be answered before its caller leaves is refused at once', async t => {
  const {entry, upstream} = await startFull(t, 1_000);
  const headers = {'x-parsleyarch-deadline-ms': '3000'};
  const refused = await call(entry, {headers});
  t.is(refused.status, 503);
  t.true(Number(refused.headers['retry-after']) > 3);
  t.is(upstream.requests.length, 0);
});
