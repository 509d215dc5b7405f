/**
 * Tests of the bound on requests that end their upstreams, with the restart times of
 * real upstreams: few sends may follow the third end, however such a request arrives.
 */
import test, {type ExecutionContext} from 'ava';
import {startRunner, type ReceivedRequest} from '@parsleyarch/standins/runner';
import {startCrashingUpstreams, type CrashingUpstreams} from './crashing.js';
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

/** Time from the end of an upstream to its next start. */
const RESTART_MS = 3_000;
const RUN_MS = 60;
/** Time after the third end from which sends count. */
const CONTACT_MS = 3_000;
/** Sends that may follow once that time has passed. */
const MAX_LATER_SENDS = 3;
const NODE_COUNT = 9;
/** Part of the sound requests to serve while no upstream is short of room. */
const MIN_SERVED_RATIO = 0.9;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

interface Customer {
  readonly name: string;
  readonly keys: readonly string[];
}

function configureCustomers(site: Site, customers: readonly Customer[]): void {
  const tenants = customers.map(({name, keys}) => ({name, api_keys: keys}));
  configure(site, [route()], {tenants});
}

interface Options {
  readonly upstreams: number;
  /** Whether upstreams of another service run beside these. */
  readonly otherService?: boolean;
  readonly isFatal?: (request: ReceivedRequest) => boolean;
  /** Time from the start of a run to the end of its upstream. */
  readonly runMs?: number;
}

interface Load {
  readonly site: Site;
  readonly upstreams: CrashingUpstreams;
}

const isOfFatalPath = ({path}: ReceivedRequest) => path === '/a/fatal';

async function startLoad(
  t: ExecutionContext,
  {
    upstreams: count,
    otherService = true,
    isFatal = isOfFatalPath,
    runMs = RUN_MS,
  }: Options,
): Promise<Load> {
  const site = await startSite(0);
  t.teardown(() => closeSite(site));
  configureCustomers(site, [{name: 'one', keys: ['k1']}]);
  for (let index = 0; index < NODE_COUNT; index += 1) await startNode(site);
  if (otherService) {
    const other = await startRunner(site.store, 'other', {service: 'other'});
    other.register();
    site.runners.push(other);
  }
  const upstreams = await startCrashingUpstreams(site, count, isFatal, {
    prefillMs: () => runMs,
    restartMs: RESTART_MS,
  });
  const known = count + Number(otherService);
  await until(() =>
    site.entries.every(
      ({node}) =>
        node.members.size === NODE_COUNT &&
        node.peers.client !== undefined &&
        node.upstreams.size === known,
    ),
  );
  return {site, upstreams};
}

function sendTo(
  {site}: Load,
  index: number,
  path: string,
  key = 'k1',
  fields: Call = {},
) {
  const headers = {authorization: `Bearer ${key}`};
  const entry = site.entries[index % site.entries.length];
  return call(entry, {...fields, path, headers});
}

/** Sends one request again and again, each time to the next node. */
async function repeat(
  load: Load,
  intervalMs: number,
  durationMs: number,
  currentKey = () => 'k1',
  fields: Call = {},
): Promise<void> {
  const until = performance.now() + durationMs;
  for (let sent = 0; performance.now() < until; sent += 1) {
    void sendTo(load, sent, '/a/fatal', currentKey(), fields);
    await wait(intervalMs);
  }
}

/** Sends that came later than the bound allows for after the third end. */
function countLaterSends({upstreams: {endedAt, received}}: Load): number {
  const thirdAt = endedAt[2] ?? Infinity;
  return received.filter(({at}) => at > thirdAt + CONTACT_MS).length;
}

function assertBounded(t: ExecutionContext, load: Load): void {
  const {endedAt} = load.upstreams;
  const laterSends = countLaterSends(load);
  t.log(`${endedAt.length} upstreams ended, ${laterSends} sends were too late`);
  t.true(endedAt.length >= 3);
  t.true(laterSends <= MAX_LATER_SENDS);
}

test.serial(
  'a request that ends its upstreams is refused after the third end, with their real restart times',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    await repeat(load, 250, 11_000);
    assertBounded(t, load);
  },
);

test.serial(
  'a request that upstreams answered before it ended them is refused after the third end',
  async t => {
    let fatal = false;
    const load = await startLoad(t, {
      upstreams: 3,
      isFatal: request => fatal && isOfFatalPath(request),
    });
    await repeat(load, 250, 1_000);
    fatal = true;
    await repeat(load, 250, 11_000);
    assertBounded(t, load);
  },
);

test.serial(
  'a request whose copies run on all upstreams of its service at once is refused after the third end',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    const until = performance.now() + 11_000;
    while (performance.now() < until) {
      for (let copy = 0; copy < NODE_COUNT; copy += 1)
        void sendTo(load, copy, '/a/fatal');
      await wait(400);
    }
    assertBounded(t, load);
  },
);

test.serial(
  'ends count although no upstream is left that a node could reach',
  async t => {
    const load = await startLoad(t, {upstreams: 3, otherService: false});
    await repeat(load, 30, 11_000);
    assertBounded(t, load);
  },
);

test.serial(
  'a request that ends its upstreams stays refused when its customer is renamed',
  async t => {
    const load = await startLoad(t, {upstreams: 3, otherService: false});
    const renamed = async () => {
      await until(() => load.upstreams.endedAt.length >= 3);
      configureCustomers(load.site, [{name: 'renamed', keys: ['k1']}]);
    };
    await Promise.all([repeat(load, 250, 11_000), renamed()]);
    assertBounded(t, load);
  },
);

test.serial(
  'a request that ends its upstreams stays refused when its key is replaced',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    let key = 'k1';
    const replaced = async () => {
      await until(() => load.upstreams.endedAt.length >= 3);
      key = 'k2';
      configureCustomers(load.site, [{name: 'one', keys: [key]}]);
    };
    await Promise.all([repeat(load, 250, 11_000, () => key), replaced()]);
    assertBounded(t, load);
  },
);

test.serial(
  'a request that ends its upstreams stays refused after all nodes were replaced',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    const {site, upstreams} = load;
    const replaced = async () => {
      await until(() => upstreams.endedAt.length >= 3);
      for (let round = 0; round < 3; round += 1) {
        await wait(1_500);
        for (const entry of site.entries.splice(0)) void entry.stop();
        const names = Array.from({length: NODE_COUNT}, (_, index) => index);
        await Promise.all(
          names.map(index => startNode(site, {node: `node-${round}-${index}`})),
        );
      }
    };
    await Promise.all([repeat(load, 250, 13_000), replaced()]);
    assertBounded(t, load);
  },
);

test.serial(
  'a request whose sends the router gives up before their upstreams end is refused after the third end',
  async t => {
    const load = await startLoad(t, {upstreams: 3, runMs: 200});
    const [{node}] = load.site.entries;
    configure(load.site, [route({goal_ms: 200})], {
      tenants: [{name: 'one', api_keys: ['k1']}],
    });
    await until(() => node.routes?.table.routes[0].objectiveMs === 200);
    await repeat(load, 250, 11_000);
    assertBounded(t, load);
  },
);

test.serial(
  'a request whose callers leave before its upstreams end is refused after the third end',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    const leave: Call = {
      onSent: sent => void setTimeout(() => sent.destroy(), RUN_MS / 2),
    };
    await repeat(load, 250, 11_000, () => 'k1', leave);
    assertBounded(t, load);
  },
);

test.serial(
  'a request whose callers leave is refused after the third end although the ends are noticed late',
  async t => {
    const load = await startLoad(t, {upstreams: 3, runMs: 800});
    const leave: Call = {
      onSent: sent => void setTimeout(() => sent.destroy(), RUN_MS / 2),
    };
    await repeat(load, 1_300, 25_000, () => 'k1', leave);
    assertBounded(t, load);
  },
);

test.serial(
  'sound requests find an upstream while a request ends the others',
  async t => {
    const load = await startLoad(t, {upstreams: 3});
    const sound: Promise<{status: number}>[] = [];
    const sendSound = async () => {
      for (let sent = 0; sent < 80; sent += 1) {
        sound.push(sendTo(load, sent, `/a/sound-${sent}`));
        await wait(100);
      }
    };
    await Promise.all([repeat(load, 250, 8_000), sendSound()]);
    const answers = await Promise.all(sound);
    const served = answers.filter(({status}) => status === 200).length;
    t.log(`${served} of ${answers.length} sound requests were served`);
    t.true(served >= answers.length * MIN_SERVED_RATIO);
  },
);

test.serial(
  'sound requests are served beside a request that turns fatal for their upstreams',
  async t => {
    let fatal = false;
    const load = await startLoad(t, {
      upstreams: 9,
      isFatal: request => fatal && isOfFatalPath(request),
    });
    await repeat(load, 250, 1_000);
    fatal = true;
    const sound: Promise<{status: number}>[] = [];
    const sendSound = async () => {
      for (let sent = 0; sent < 60; sent += 1) {
        sound.push(sendTo(load, sent, `/a/sound-${sent}`));
        await wait(180);
      }
    };
    await Promise.all([repeat(load, 250, 11_000), sendSound()]);
    assertBounded(t, load);
    const answers = await Promise.all(sound);
    const served = answers.filter(({status}) => status === 200).length;
    t.log(`${served} of ${answers.length} sound requests were served`);
    t.true(served >= answers.length * MIN_SERVED_RATIO);
  },
);
