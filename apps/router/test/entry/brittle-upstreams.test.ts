/**
 * Tests of upstreams that end when they have to refuse too many requests in a
 * second for want of room, and say so in their answers.
 */
import {createSeal, startRunner} from '@parsleyarch/standins/runner';
import test, {type ExecutionContext} from 'ava';
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

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

const RESTART_MS = 1_000;

/** An upstream that ends when it refuses more than this in a second. */
interface Brittleness {
  /** Requests without an answer that it works on at the same time. */
  readonly slots: number;
  readonly runMs: number;
  /** Slots that it reports; an engine also runs requests with an answer. */
  readonly reportedSlots: number;
  /** Requests that may wait for a slot. */
  readonly room: number;
  readonly rejectionsPerSecond: number;
}

/** What happened at all upstreams. */
interface Tally {
  refused: number;
  fallen: number;
}

/** Starts an upstream, and after each of its ends another one in its place. */
async function startBrittle(
  site: Site,
  id: string,
  brittleness: Brittleness,
  tally: Tally,
): Promise<void> {
  const {slots, runMs, reportedSlots, room, rejectionsPerSecond} = brittleness;
  const runner = await startRunner(site.store, id, {slots: reportedSlots});
  site.runners.push(runner);
  const waiting: (() => void)[] = [];
  const refusedAt: number[] = [];
  let running = 0;
  const headers = () => ({
    'Server-Brittle': String(rejectionsPerSecond),
    'X-Parsleyarch-Runner-Load': `${running},${waiting.length},${reportedSlots}`,
  });
  const refuse = async () => {
    tally.refused += 1;
    const now = performance.now();
    refusedAt.push(now);
    const recent = refusedAt.filter(at => at > now - 1_000);
    if (recent.length !== rejectionsPerSecond + 1) return;
    tally.fallen += 1;
    await runner.server.stop();
    await wait(RESTART_MS);
    runner.deregister();
    if (site.entries.every(({node}) => node.stopping)) return;
    await startBrittle(site, `${id}+`, brittleness, tally);
  };
  runner.script = async (request, response) => {
    if (running >= slots && waiting.length >= room) {
      response
        .writeHead(503, {...headers(), 'X-Parsleyarch-Not-Run': '1'})
        .end();
      return refuse();
    }
    if (running >= slots)
      await new Promise<void>(resolve => waiting.push(resolve));
    else running += 1;
    await wait(runMs);
    response.writeHead(200, {...createSeal(request), ...headers()}).end('run');
    const next = waiting.shift();
    if (next) next();
    else running -= 1;
  };
  runner.register();
}

const MODELS = [{name: 'large', cost: 1}];
const SERVICES = {
  service: {name: 'api', health_path: '/healthz'},
  engine: {name: 'api', health_path: '/healthz', engine: {models: MODELS}},
};

async function start(
  t: ExecutionContext,
  kind: keyof typeof SERVICES,
  brittleness: Brittleness,
): Promise<{site: Site; tally: Tally}> {
  const site = await startSite(0);
  t.teardown(async () => {
    for (const {node} of site.entries) node.stopping = true;
    await closeSite(site);
  });
  configure(site, [route()], {services: [SERVICES[kind]]});
  const tally = {refused: 0, fallen: 0};
  for (let index = 0; index < UPSTREAM_COUNT; index += 1)
    await startBrittle(site, `i-${index}`, brittleness, tally);
  for (let index = 0; index < 3; index += 1) await startNode(site);
  for (const {node} of site.entries)
    await until(() => node.members.size === 3 && node.upstreams.size > 0);
  return {site, tally};
}

/** Sends requests to the nodes in turn; returns how many were served. */
async function sendFor(
  {entries}: Site,
  durationMs: number,
  perSecond: number,
): Promise<{sent: number; served: number}> {
  const startedAt = performance.now();
  const calls: Promise<boolean>[] = [];
  while (performance.now() - startedAt < durationMs) {
    const due = ((performance.now() - startedAt) * perSecond) / 1_000;
    while (calls.length < due) {
      const entry = entries[calls.length % entries.length];
      calls.push(call(entry).then(({status}) => status === 200));
    }
    await wait(10);
  }
  const served = await Promise.all(calls);
  return {sent: served.length, served: served.filter(Boolean).length};
}

const UPSTREAM_COUNT = 4;
const KINDS = {
  service: {slots: 3, runMs: 300, reportedSlots: 3},
  engine: {slots: 1, runMs: 100, reportedSlots: 64},
} as const;

for (const kind of ['service', 'engine'] as const) {
  for (const room of [0, 2]) {
    test(`upstreams of a brittle ${kind} where ${room} may wait do not end one after the other under overload`, async t => {
      const brittleness = {...KINDS[kind], room, rejectionsPerSecond: 2};
      const {site, tally} = await start(t, kind, brittleness);
      await sendFor(site, 3_000, 25);
      const before = tally.fallen;
      // The four upstreams serve 40 requests a second.
      const {sent, served} = await sendFor(site, 6_000, 80);
      t.log({sent, served, ...tally, before});
      t.true(tally.fallen - before <= 2);
      t.true(served >= (40 * 6) / 2);
    });
  }
}
