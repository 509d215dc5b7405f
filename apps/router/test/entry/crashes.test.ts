/** Tests of requests that end every upstream which runs them. */
import test, {type ExecutionContext} from 'ava';
import {startRunner, type ReceivedRequest} from '@parsleyarch/standins/runner';
import {mergeCrashes} from '@parsleyarch/router/entry/crashes';
import {startCrashingUpstreams} from './crashing.js';
import {
  call,
  closeSite,
  configure,
  route,
  startNode,
  startSite,
  until,
  type Call,
  type Site,
} from './site.js';

/** Longest time in which evidence reaches all nodes that are in touch. */
const CONTACT_MS = 3_000;
/** Sends that may follow once that time has passed. */
const MAX_LATER_SENDS = 3;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

async function startNodes(t: ExecutionContext, count: number): Promise<Site> {
  const site = await startSite(0);
  t.teardown(() => closeSite(site));
  const customers = ['k1', 'k2'].map(key => ({
    name: `customer-${key}`,
    api_keys: [key],
  }));
  configure(site, [route()], {tenants: customers});
  for (let index = 0; index < count; index += 1) await startNode(site);
  await until(() =>
    site.entries.every(
      ({node}) =>
        node.members.size === count && node.peers.client !== undefined,
    ),
  );
  return site;
}

const send = (site: Site, index: number, body: string, fields: Call = {}) =>
  call(site.entries[index % site.entries.length], {
    method: 'POST',
    body,
    ...fields,
    headers: {authorization: 'Bearer k1', ...fields.headers},
  });

test('a request that ends its upstreams is refused by all nodes after the third end', async t => {
  const site = await startNodes(t, 3);
  const upstreams = await startCrashingUpstreams(
    site,
    6,
    ({body}) => body === 'fatal',
  );
  await until(() => site.entries[0].node.upstreams.size === 6);
  for (let sent = 0; upstreams.ended.length < 3 && sent < 20; sent += 1)
    await send(site, sent, 'fatal');
  t.true(upstreams.ended.length >= 3);
  await wait(CONTACT_MS);
  const before = upstreams.received.length;
  const answers = [];
  for (let sent = 0; sent < 12; sent += 1)
    answers.push(await send(site, sent, 'fatal'));
  t.true(upstreams.received.length - before <= MAX_LATER_SENDS);
  const last = answers.at(-1)!;
  t.is(last.status, 503);
  t.true(Number(last.headers['retry-after']) > 0);
  t.is((await send(site, 0, 'sound')).status, 200);
});

test('a node that starts late learns of a request that ends upstreams from the others', async t => {
  const site = await startNodes(t, 2);
  const upstreams = await startCrashingUpstreams(
    site,
    6,
    ({body}) => body === 'fatal',
  );
  await until(() => site.entries[0].node.upstreams.size === 6);
  for (let sent = 0; upstreams.ended.length < 3 && sent < 20; sent += 1)
    await send(site, sent, 'fatal');
  await until(() =>
    site.entries.every(({node}) => node.crashes.evidence.crashes.size >= 3),
  );
  const {node} = await startNode(site);
  await until(() => node.crashes.evidence.crashes.size >= 3);
  const before = upstreams.received.length;
  t.is((await send(site, 2, 'fatal')).status, 503);
  t.is(upstreams.received.length, before);
});

test('a request that ends its upstreams is recorded in the store although nobody sends it again', async t => {
  const site = await startNodes(t, 3);
  const upstreams = await startCrashingUpstreams(site, 6, () => true);
  await until(() => site.entries[0].node.upstreams.size === 6);
  for (let sent = 0; upstreams.ended.length < 3 && sent < 20; sent += 1)
    await send(site, sent, 'fatal');
  const isRecorded = () =>
    [...site.store.items.keys()].some(key =>
      key.startsWith('router/culprits/'),
    );
  await until(isRecorded);
  t.true(isRecorded());
});

test('requests are served again after all upstreams ended under them at once', async t => {
  const site = await startNodes(t, 2);
  const upstreams = await startCrashingUpstreams(site, 4, () => false);
  await until(() => site.entries[0].node.upstreams.size === 4);
  const held = [...site.runners];
  for (const runner of held) runner.script = () => {};
  const answers = Array.from({length: 12}, (_, index) =>
    send(site, index, 'sound'),
  );
  await until(() => held.flatMap(({requests}) => requests).length === 12);
  for (const runner of held) await runner.server.stop();
  await Promise.all(answers);
  for (const runner of held) runner.deregister();
  await startCrashingUpstreams(site, 2, () => false);
  await until(() => site.entries.every(({node}) => node.upstreams.size === 2));
  t.is(upstreams.ended.length, 0);
  for (let index = 0; index < 4; index += 1)
    t.is((await send(site, index, 'sound')).status, 200);
});

test('a node that knows the answer of a trial serves the request before its record has left the store', async t => {
  const site = await startNodes(t, 2);
  const {crashes, reachability, feed} = site.entries[1].node;
  await startCrashingUpstreams(site, 4, () => false);
  await until(() => site.entries[0].node.upstreams.size === 4);
  for (const runner of site.runners) runner.script = () => {};
  const answers = Array.from({length: 12}, (_, index) =>
    send(site, index, 'sound'),
  );
  await until(
    () => site.runners.flatMap(({requests}) => requests).length === 12,
  );
  for (const runner of site.runners) await runner.server.stop();
  await Promise.all(answers);
  for (const runner of site.runners) runner.deregister();
  await startCrashingUpstreams(site, 2, () => false);
  await until(() => site.entries.every(({node}) => node.upstreams.size === 2));
  t.is((await send(site, 0, 'sound')).status, 200);
  const listSuspects = () =>
    [...crashes.evidence.crashes.values()].map(({suspects}) => suspects);
  const isCleared = () =>
    listSuspects().every(suspects =>
      [...suspects.values()].every(({cleared}) => cleared),
    );
  const {items} = site.store;
  const isRemoved = () =>
    [...items.keys()].every(key => !key.startsWith('router/culprits/'));
  const isSettled = () =>
    isRemoved() &&
    reachability.cutOff.size === 0 &&
    feed.revision === site.store.revision;
  await until(() => isCleared() && isSettled());
  for (const key of listSuspects()[0].keys()) {
    const changedAt = performance.now();
    crashes.records.set(key, {key, trialCount: 3, revision: 1, changedAt});
  }
  t.is((await send(site, 1, 'sound')).status, 200);
});

test('an upstream that comes back with its id is not ranked last by later reports of its end', async t => {
  const site = await startNodes(t, 1);
  const [{node}] = site.entries;
  const runner = await startRunner(site.store, 'i-0');
  site.runners.push(runner);
  runner.register();
  await until(() => node.upstreams.has('i-0'));
  const crash = {upstream: 'i-0@1', ageMs: 10, suspects: []};
  const report = {crashDigest: 0, crashes: [crash]};
  mergeCrashes(node, report);
  t.true(node.upstreams.get('i-0')!.backoffUntil > node.clock());
  runner.deregister();
  await until(() => !node.upstreams.has('i-0'));
  runner.register();
  await until(() => node.upstreams.has('i-0'));
  mergeCrashes(node, report);
  t.true(node.upstreams.get('i-0')!.backoffUntil <= node.clock());
});

test('the end of an upstream under a send whose caller left is noticed without another request', async t => {
  const site = await startNodes(t, 1);
  await startCrashingUpstreams(site, 2, () => true, {
    prefillMs: () => 100,
    restartMs: 60_000,
  });
  const [{node}] = site.entries;
  await until(() => node.upstreams.size === 2);
  const leave: Call = {
    onSent: sent => void setTimeout(() => sent.destroy(), 50),
  };
  await send(site, 0, 'fatal', leave);
  await until(() => node.crashes.evidence.crashes.size === 1);
  const [crash] = node.crashes.evidence.crashes.values();
  t.true(crash.suspects.size > 0);
});

test('a closed connection of an upstream that goes on serving makes no suspect', async t => {
  const site = await startNodes(t, 1);
  await startCrashingUpstreams(site, 2, () => false);
  const [{node}] = site.entries;
  await until(() => node.upstreams.size === 2);
  for (const runner of site.runners)
    runner.script = (_request, response) => void response.destroy();
  t.is((await send(site, 0, 'sound')).status, 502);
  t.is(node.crashes.evidence.crashes.size, 0);
});

test('the end of an upstream is recorded by all nodes although they reach no other one', async t => {
  const site = await startNodes(t, 3);
  const upstreams = await startCrashingUpstreams(site, 2, () => true, {
    restartMs: 60_000,
  });
  await until(() => site.entries[0].node.upstreams.size === 2);
  for (let sent = 0; upstreams.ended.length < 2 && sent < 20; sent += 1)
    await send(site, sent, 'fatal');
  await until(() =>
    site.entries.every(({node}) => node.crashes.evidence.crashes.size === 2),
  );
  t.is(upstreams.ended.length, 2);
});

let prompts = 0;

/** A request that shares all but the last part of its prompt with others. */
const prompt = (segment: string): Call => {
  prompts += 1;
  const segments = `aa:800,${segment}:400,ff${prompts}:200`;
  return {headers: {'x-parsleyarch-prompt-prefix': segments}};
};

const hasBadSegment = ({headers}: ReceivedRequest) =>
  String(headers['x-parsleyarch-prompt-prefix']).includes('bad:');

test('requests with a prompt segment that ends upstreams are refused by all nodes, and no others', async t => {
  const site = await startNodes(t, 3);
  const upstreams = await startCrashingUpstreams(site, 6, hasBadSegment);
  await until(() => site.entries[0].node.upstreams.size === 6);
  const sendPrompt = (index: number, segment: string) =>
    send(site, index, `body ${index} ${prompts}`, prompt(segment));
  for (let sent = 0; upstreams.ended.length < 5 && sent < 60; sent += 1) {
    await Promise.all([
      sendPrompt(sent, 'bad'),
      sendPrompt(sent, `b${sent % 4}`),
      sendPrompt(sent + 1, `b${sent % 3}`),
    ]);
    await wait(50);
  }
  await wait(CONTACT_MS);
  const before = upstreams.received.length;
  let served = 0;
  for (let sent = 0; sent < 12; sent += 1) {
    const sound = sendPrompt(sent, `b${sent % 5}`);
    await sendPrompt(sent + 1, 'bad');
    if ((await sound).status === 200) served += 1;
  }
  t.true(upstreams.received.length - before <= MAX_LATER_SENDS);
  t.is(served, 12);
});

test('a stream of requests with a fatal segment ends few upstreams, and sound ones are served', async t => {
  const site = await startNodes(t, 4);
  let started = 0;
  const prefillMs = () => {
    started += 1;
    return 100 + ((started * 37) % 300);
  };
  const upstreams = await startCrashingUpstreams(site, 6, hasBadSegment, {
    prefillMs,
  });
  await until(() => site.entries[0].node.upstreams.size === 6);
  let fifthAt = Infinity;
  const sound: {at: number; answer: Promise<{status: number}>}[] = [];
  const startedAt = performance.now();
  for (let sent = 0; performance.now() - startedAt < 8_000; sent += 1) {
    void send(site, sent, `bad ${sent}`, prompt('bad'));
    for (let beside = 0; beside < 3; beside += 1) {
      const answer = send(
        site,
        sent + beside,
        `body ${sent}`,
        prompt(`b${beside}`),
      );
      sound.push({at: performance.now(), answer});
    }
    await wait(100);
    if (upstreams.ended.length >= 5 && fifthAt === Infinity)
      fifthAt = performance.now();
  }
  const later = upstreams.received.filter(({at}) => at > fifthAt + CONTACT_MS);
  t.true(later.length <= MAX_LATER_SENDS);
  const laterSound = sound.filter(({at}) => at > startedAt + 5_000);
  const answers = await Promise.all(laterSound.map(({answer}) => answer));
  const served = answers.filter(({status}) => status === 200);
  t.true(served.length >= answers.length / 2);
  t.log(`${upstreams.ended.length} upstreams ended`);
});
