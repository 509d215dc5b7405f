import {createSeal, type Script} from '@parsleyarch/standins/runner';
import {startRunner} from '@parsleyarch/standins/runner';
import {StoreBehavior} from '@parsleyarch/standins/keyspace';
import test, {type ExecutionContext} from 'ava';
import type {Entry} from '@parsleyarch/router/entry/serve';
import {isShareReady} from '@parsleyarch/router/entry/kept-sessions';
import {elapsedSinceOrder} from '@parsleyarch/router/entry/rollout-view';
import type {Outcome} from '@parsleyarch/router/entry/attempt';
import type {Exchange} from '@parsleyarch/router/entry/exchange';
import {
  collectRolloutReports,
  recordVersionOutcome,
  sumTallies,
} from '@parsleyarch/router/entry/version-tallies';
import {localElapsedSinceOrder} from '@parsleyarch/router/entry/versions';
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

const DURATION_S = 10;

async function startRollout(
  t: ExecutionContext,
  script?: Script,
  durationSeconds = DURATION_S,
): Promise<Site> {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route({max_attempts: 3})]);
  await startNode(site);
  await startNode(site);
  for (const id of ['n-0', 'n-1']) {
    const runner = await startRunner(site.store, id, {version: 'v2'});
    runner.script = script;
    site.runners.push(runner);
  }
  site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v2',
    duration_s: durationSeconds,
  });
  for (const runner of site.runners.slice(2)) runner.register();
  return site;
}

const readStatus = ({store}: Site) => {
  const item = store.items.get('status/rollout/api');
  const text =
    item?.value && Buffer.from(item.value, 'base64').toString('utf8');
  return text
    ? (JSON.parse(text) as {state: string; target: string})
    : undefined;
};

/** Sends requests of short and long sessions until a state is reached. */
async function sendUntilState(site: Site, state: string): Promise<number> {
  let sent = 0;
  const end = performance.now() + DURATION_S * 1_000;
  while (readStatus(site)?.state !== state && performance.now() < end) {
    const longSession = `s-${sent % 7}`;
    const headers = {session: sent % 2 ? longSession : `one-${sent}`};
    await call(site.entries[sent % 2], {headers});
    sent += 1;
    await new Promise(resolve => setTimeout(resolve, 8));
  }
  return sent;
}

test('a good version is complete in time, and lasting sessions never go back', async t => {
  const site = await startRollout(t);
  await sendUntilState(site, 'complete');
  t.deepEqual(readStatus(site), {state: 'complete', target: 'v2'});
  const runs = site.runners.flatMap((runner, i) =>
    runner.requests.map(({headers, at}) => ({
      session: String(headers.session),
      at,
      fresh: i >= 2,
    })),
  );
  runs.sort((a, b) => a.at - b.at);
  const lastFresh = new Map<string, boolean>();
  let movesBackCount = 0;
  for (const {session, fresh} of runs) {
    if (lastFresh.get(session) && !fresh) movesBackCount += 1;
    lastFresh.set(session, fresh);
  }
  t.is(movesBackCount, 0);
  const firstHalf = runs.filter(({at}) => at < runs[0].at + DURATION_S * 450);
  const movedEarly = firstHalf.filter(
    ({session, fresh}) => session.startsWith('s-') && fresh,
  );
  t.is(movedEarly.length, 0);
});

test('a session of a completed roll-out stays on its version during the canary of the next one', async t => {
  const site = await startRollout(t);
  await sendUntilState(site, 'complete');
  const next = await startRunner(site.store, 'm-0', {version: 'v3'});
  const isOrdered = ({node}: Entry) => node.orders.get('api')?.target === 'v3';
  const sendRound = async (name: string) => {
    for (let index = 0; index < 40; index += 1) {
      const headers = {session: `${name}-${index}`};
      await call(site.entries[index % 2], {headers});
    }
  };
  await sendRound('lasting');
  site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v3',
    duration_s: 30,
  });
  next.register();
  site.runners.push(next);
  await until(() => site.entries.every(isOrdered));
  const isCanary = ({node}: Entry) =>
    node.versions.plans.get('api')?.plan.phase === 'canary';
  await until(() => site.entries.every(isCanary));
  for (let round = 0; round < 5; round += 1) await sendRound('lasting');
  await sendRound('new');
  const sessions = next.requests.map(({headers}) => String(headers.session));
  t.true(sessions.some(session => session.startsWith('new')));
  t.deepEqual(
    sessions.filter(session => session.startsWith('lasting')),
    [],
  );
});

test('a session that changes nodes stays on the old version during the canary', async t => {
  const site = await startSite(2);
  t.teardown(() => closeSite(site));
  configure(site, [route()]);
  await startNode(site);
  await startNode(site);
  const fresh = await startRunner(site.store, 'n-0', {version: 'v2'});
  site.runners.push(fresh);
  const [first, second] = site.entries;
  const sendRound = async (entry: Entry) => {
    for (let i = 0; i < 60; i += 1)
      await call(entry, {headers: {session: `s-${i}`}});
  };
  await sendRound(first);
  site.store.put('op/rollout/api', {
    service: 'api',
    target: 'v2',
    duration_s: 30,
  });
  await until(() => first.node.orders.has('api'));
  fresh.register();
  const order = () => second.node.orders.get('api');
  const isReady = () =>
    second.node.versions.plans.get('api')?.plan.phase === 'canary' &&
    isShareReady(second.node, order()!);
  await until(isReady);
  await sendRound(second);
  for (let i = 0; i < 60; i += 1)
    await call(second, {headers: {session: `new-${i}`}});
  const sessions = fresh.requests.map(({headers}) => String(headers.session));
  t.true(sessions.some(session => session.startsWith('new-')));
  t.deepEqual(
    sessions.filter(session => session.startsWith('s-')),
    [],
  );
});

test('a bad version is reverted after few requests and gets none afterwards', async t => {
  const site = await startRollout(
    t,
    (seen, response) =>
      void response.writeHead(500, createSeal(seen)).end('bad'),
  );
  const sent = await sendUntilState(site, 'reverted');
  t.is(readStatus(site)?.state, 'reverted');
  const exposed = () =>
    site.runners.slice(2).flatMap(({requests: seen}) => seen).length;
  t.true(exposed() <= sent * 0.15 + 30);
  await until(() =>
    site.entries.every(
      ({node}) => node.versions.plans.get('api')?.plan.phase === 'reverted',
    ),
  );
  const before = exposed();
  for (let i = 0; i < 20; i += 1) await call(site.entries[i % 2]);
  t.is(exposed(), before);
});

test('a node that does not hear from the holder sends no new session to the new version', async t => {
  const site = await startRollout(t, undefined, 30);
  const phase = ({node}: Entry) => node.versions.plans.get('api')?.plan.phase;
  await until(() => site.entries.every(entry => phase(entry) === 'canary'));
  const isHolder = ({node}: Entry) => node.holderState.lease !== undefined;
  const holder = site.entries.find(isHolder)!;
  const other = site.entries.find(entry => entry !== holder)!;
  const freshRunners = site.runners.slice(2);
  const exposed = () =>
    freshRunners.reduce((sum, {requests}) => sum + requests.length, 0);
  const sendSessions = async (name: string) => {
    for (let sent = 0; sent < 100; sent += 1)
      await call(other, {headers: {session: `${name}-${sent}`}});
  };
  const order = other.node.orders.get('api')!;
  await until(() => isShareReady(other.node, order));
  await sendSessions('before');
  t.true(exposed() > 0);
  // The holder keeps its lease but does not answer, and the plan stays.
  const {name} = other.node.members.get(holder.node.settings.node)!;
  const member = other.node.members.get(name)!;
  other.node.members.set(name, {...member, address: '127.0.0.1:9'});
  holder.node.settings.rollout.exposeShare = 0;
  const {sequence} = other.node.versions.plans.get('api')!.plan;
  await new Promise(resolve => setTimeout(resolve, 3_500));
  const before = exposed();
  await sendSessions('after');
  t.is(phase(other), 'canary');
  t.is(other.node.versions.plans.get('api')!.plan.sequence, sequence);
  t.is(exposed(), before);
});

test('a holder whose lease cannot be renewed answers no reports', async t => {
  const site = await startRollout(t);
  const isHolder = ({node}: Entry) => node.holderState.lease !== undefined;
  await until(() => site.entries.some(isHolder));
  const holder = site.entries.find(isHolder)!;
  const other = site.entries.find(entry => entry !== holder)!;
  const advisedAt = () => other.node.holderState.advisedAt;
  await until(() => advisedAt() > 0);
  site.store.behavior = StoreBehavior.unresponsive;
  await new Promise(resolve => setTimeout(resolve, 3_500));
  const last = advisedAt();
  await new Promise(resolve => setTimeout(resolve, 1_000));
  t.is(advisedAt(), last);
  site.store.behavior = StoreBehavior.normal;
});

test('a holder that knows an earlier plan than others waits, then leaves the lease', async t => {
  const site = await startRollout(t, undefined, 30);
  const plans = ({node}: Entry) => node.versions.plans.get('api')?.plan;
  const isCanary = (entry: Entry) => plans(entry)?.phase === 'canary';
  await until(() => site.entries.every(isCanary));
  const isHolder = ({node}: Entry) => node.holderState.lease !== undefined;
  const holder = site.entries.find(isHolder)!;
  const other = site.entries.find(entry => entry !== holder)!;
  const known = other.node.versions.plans.get('api')!;
  const {sequence} = known.plan;
  const later = {...known.plan, phase: 'reverted', sequence: sequence + 5};
  other.node.versions.plans.set('api', {
    ...known,
    plan: later as typeof known.plan,
    isStored: false,
  });
  const isReported = () => {
    const {reports} = holder.node.holderState;
    const received = reports.get(other.node.settings.node);
    return received?.reports[0]?.sequence === sequence + 5;
  };
  await until(isReported);
  t.is(plans(holder)?.sequence, sequence);
  await until(() => !isHolder(holder));
  t.is(plans(holder)?.sequence, sequence);
  await until(() => plans(holder)?.phase === 'reverted');
});

test('another node becomes the holder after the holder has stopped', async t => {
  const site = await startRollout(t);
  await until(() =>
    site.entries.some(({node}) => node.holderState.lease !== undefined),
  );
  const holder = site.entries.find(
    ({node}) => node.holderState.lease !== undefined,
  )!;
  const other = site.entries.find(entry => entry !== holder)!;
  holder.node.settings.stop.graceSeconds = 0;
  await holder.stop();
  await until(() => other.node.holderState.lease !== undefined);
  t.is(readStatus(site)?.state, 'running');
});

test('a restarted holder learns the time since the order from reports', async t => {
  const site = await startRollout(t);
  await until(() => readStatus(site)?.state === 'running');
  const [first, second] = site.entries;
  const order = () => second.node.orders.get('api')!;
  await until(() => second.node.orders.has('api'));
  await new Promise(resolve => setTimeout(resolve, 1_500));
  first.node.settings.stop.graceSeconds = 0;
  await first.stop();
  const third = await startNode(site);
  const elapsed = () =>
    elapsedSinceOrder(third.node, third.node.orders.get('api')!);
  t.true(third.node.clock() - third.node.orders.get('api')!.seenAt < 1_000);
  second.node.settings.stop.graceSeconds = 0;
  third.node.holderState.reports.set('node-2', {
    receivedAt: third.node.clock(),
    reports: collectRolloutReports(second.node),
  });
  const known = localElapsedSinceOrder(second.node, order());
  t.true(known >= 1_500);
  t.true(elapsed() >= known - 100);
});

const STREAM_EVENT_COUNT = 6;

/** Sends its head at once, and then an event at each interval. */
const streamEvery =
  (intervalMs: number): Script =>
  async (request, response) => {
    response.writeHead(200, {
      ...createSeal(request),
      'content-type': 'text/event-stream',
    });
    for (let id = 1; id <= STREAM_EVENT_COUNT; id += 1) {
      response.write(`id: ${id}\ndata: e\n\n`);
      await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
    response.end();
  };

test('a version whose streams are slow between events is not completed', async t => {
  const site = await startRollout(t, streamEvery(160));
  for (const runner of site.runners.slice(0, 2))
    runner.script = streamEvery(20);
  const kind = {kind: 'stream', gap_aim_ms: 800, goal_ms: 2_000};
  configure(site, [route({...kind, timeout_ms: 6_000})]);
  const isOver = () =>
    readStatus(site) && readStatus(site)?.state !== 'running';
  const end = performance.now() + DURATION_S * 1_000;
  for (let sent = 0; !isOver() && performance.now() < end; sent += 1) {
    const headers = {
      session: `one-${sent}`,
      'x-parsleyarch-deadline-ms': '6000',
    };
    void call(site.entries[sent % 2], {headers});
    await new Promise(resolve => setTimeout(resolve, 30));
  }
  t.is(readStatus(site)?.state, 'reverted');
});

test('a stream that is dropped for a larger model counts by the time to its head', async t => {
  const site = await startRollout(t);
  for (const runner of site.runners)
    runner.script = (request, response) => {
      const isSmall = request.headers['x-parsleyarch-model'] === 'small';
      response.writeHead(200, {
        ...createSeal(request),
        'content-type': 'text/event-stream',
        'x-parsleyarch-confidence': isSmall ? '10' : '90',
      });
      response.end('id: 1\ndata: e\n\nid: 2\ndata: e\n\n');
    };
  const [{node}] = site.entries;
  await until(() => node.orders.has('api'));
  const models = [
    {name: 'small', cost: 0.1},
    {name: 'large', cost: 1},
  ];
  configure(
    site,
    [route({kind: 'stream', resumable: true, sizes: ['small', 'large']})],
    {
      services: [{name: 'api', health_path: '/healthz', engine: {models}}],
    },
  );
  const send = () =>
    call(site.entries[0], {headers: {'x-parsleyarch-model': '*'}});
  const countRuns = () => site.runners.flatMap(({requests}) => requests).length;
  await until(() => node.routes?.table.routes[0]?.models.length === 2);
  for (let sent = 0; sent < 20; sent += 1) await send();
  t.is(countRuns(), 40);
  const tallies = [...node.versions.tallies.values()].flatMap(counts => [
    ...counts.values(),
  ]);
  const sum = (field: 'seen' | 'untimed') =>
    tallies.reduce((total, tally) => total + tally[field], 0);
  t.is(sum('seen'), 40);
  // The first stream of the larger model has no baseline.
  t.is(sum('untimed'), 1);
});

test('a version that a node meets before the old one is not its own baseline', async t => {
  const site = await startRollout(t);
  const [{node}] = site.entries;
  await until(() => node.orders.has('api') && node.upstreams.has('n-0'));
  const exchange = {
    service: 'api',
    route: node.routes!.table.routes[0],
  } as Exchange;
  const outcome = {kind: 'answer', answer: {status: 200}} as Outcome;
  const record = (id: string, tookMs: number) =>
    recordVersionOutcome(node, exchange, node.upstreams.get(id)!, {
      outcome,
      tookMs,
      model: '',
    });
  const sumFresh = () => {
    const [{tallies}] = collectRolloutReports(node);
    return sumTallies(tallies, true).latency;
  };
  record('n-0', 2_000);
  t.deepEqual(sumFresh(), {seen: 0, bad: 0});
  const [old] = site.runners;
  record(old.id, 100);
  record('n-0', 2_000);
  t.deepEqual(sumFresh(), {seen: 1, bad: 1});
});
