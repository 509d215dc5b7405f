/** The main job of the product, shown on stand-ins in about half a minute. */
import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {promisify} from 'node:util';
import {chat, send, type CallerAnswer} from './client.js';
import {
  closeCluster,
  declare,
  inForce,
  operate,
  OPERATOR_KEY,
  startCluster,
  type Cluster,
} from './cluster.js';
import {startEngines, startServices, type Pool} from './deployment.js';
import {wholeAnswer, type EngineStandIn} from './engine.js';
import type {ServiceStandIn} from './service.js';

const run = promisify(execFile);
const ROUTER = 'build/parsleyarch.cjs';
/** Time in which an accepted change is in force everywhere. */
const IN_FORCE_MS = 8_000;
const CHOIR = 'key-of-st-nicholas-choir';
const RECEPTION = 'key-of-office-tower-reception';

/** Checks of one promise. */
interface Check {
  checks: number;
  violations: number;
}

type Checks = Map<string, Check>;

function note(checks: Checks, promise: string, holds: boolean): void {
  const check = checks.get(promise) ?? {checks: 0, violations: 0};
  check.checks += 1;
  if (!holds) check.violations += 1;
  checks.set(promise, check);
}

function isWhole(answer: CallerAnswer, prompt: string): boolean {
  const version = String(answer.headers['x-version']);
  return (
    answer.whole && answer.text === wholeAnswer(version, `user: ${prompt}`, 64)
  );
}

async function streamTraffic(
  cluster: Cluster,
  checks: Checks,
  key: string,
  model: string,
  count: number,
): Promise<number> {
  const {nodes} = cluster;
  const answers = await Promise.all(
    Array.from({length: count}, async (_, index) => {
      await new Promise(resolve => setTimeout(resolve, index * 15));
      const prompt = `${model} request ${index}`;
      const node = nodes[index % nodes.length];
      const answer = await chat(node.callers, key, prompt, {model});
      const truthful = answer.error?.run === 'not-run';
      const whole = isWhole(answer, prompt);
      note(checks, 'whole answer to its own request', whole || truthful);
      return whole;
    }),
  );
  return answers.filter(Boolean).length;
}

async function checkOrders(
  cluster: Cluster,
  checks: Checks,
  runs: Map<string, number>,
): Promise<void> {
  const order = (index: number, id: string) =>
    send(cluster.nodes[index].callers, {
      path: '/services/dispatch/orders',
      key: RECEPTION,
      headers: {'idempotency-key': id},
      body: {id},
    });
  for (let index = 0; index < 10; index += 1) {
    const id = `order-${index}`;
    await Promise.all([order(0, id), order(1, id), order(2, id)]);
    note(checks, 'at most once', (runs.get(id) ?? 0) <= 1);
  }
}

async function checkSessions(cluster: Cluster, checks: Checks): Promise<void> {
  const seen = new Map<string, string>();
  const ask = async (round: number) => {
    for (let index = 0; index < 12; index += 1) {
      const node = cluster.nodes[(index + round) % cluster.nodes.length];
      const answer = await chat(node.callers, CHOIR, 'a verse', {
        headers: {'x-session-id': `leader-${index}`},
      });
      const version = answer.headers['x-version'];
      if (typeof version !== 'string') continue;
      const before = seen.get(`leader-${index}`) ?? version;
      note(checks, 'a session keeps its version', before === version);
      seen.set(`leader-${index}`, version);
    }
  };
  await ask(0);
  const rollout = {model: 'hymn', from: 'hymn-1', to: 'hymn-2'};
  const revision = await declare(cluster.nodes[0], [
    {kind: 'Rollout', name: 'h2', spec: {...rollout, steps: [50], step: 0}},
  ]);
  await inForce(cluster, revision);
  await ask(1);
}

async function checkDomainOut(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  const [, engine] = [...engines.instances][0];
  const answer = await operate(
    cluster.nodes[0],
    'PUT',
    '/v1/FailureDomain/bayanzurkh',
    {
      region: 'ulaanbaatar',
      state: 'out',
    },
  );
  const {revision} = answer.json as {revision: number};
  await inForce(cluster, revision, IN_FORCE_MS);
  const outAt = Date.now();
  await streamTraffic(cluster, checks, CHOIR, 'hymn', 40);
  note(
    checks,
    'a domain that is out gets no new work',
    engine.lastBegunAt < outAt,
  );
}

async function checkAllowed(cluster: Cluster, checks: Checks): Promise<void> {
  const [node] = cluster.nodes;
  const pairs = [
    [CHOIR, 'basket'],
    [RECEPTION, 'hymn'],
    [RECEPTION, 'announce'],
  ];
  for (const [key, model] of pairs) {
    const answer = await chat(node.callers, key, 'not mine', {model});
    const refused = answer.error?.kind === 'model-not-allowed';
    note(checks, 'only allowed models and versions', refused);
  }
}

async function checkWithdrawn(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  const begun = () =>
    [...engines.instances.values()].reduce(
      (sum, engine) => sum + (engine.begun.get('hymn-2') ?? 0),
      0,
    );
  const spec = {model: 'hymn', tokenCost: 18, state: 'withdrawn'};
  const revision = await declare(cluster.nodes[2], [
    {kind: 'Version', name: 'hymn-2', spec},
  ]);
  await inForce(cluster, revision, IN_FORCE_MS);
  const before = begun();
  await streamTraffic(cluster, checks, CHOIR, 'hymn', 30);
  note(checks, 'a withdrawn version gets no new work', begun() === before);
}

async function checkLeaving(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  const declared = engines.declarations[1];
  const spec = {...declared.spec, state: 'draining'};
  const revision = await declare(cluster.nodes[0], [{...declared, spec}]);
  await inForce(cluster, revision, IN_FORCE_MS);
  const since = Date.now();
  await streamTraffic(cluster, checks, CHOIR, 'hymn', 20);
  const engine = engines.instances.get(declared.name)!;
  const promise = 'an upstream that is leaving gets no new work';
  note(checks, promise, engine.lastBegunAt < since);
}

async function checkNotRun(
  cluster: Cluster,
  checks: Checks,
  dispatch: Pool<ServiceStandIn>,
): Promise<void> {
  const instances = [...dispatch.instances.values()];
  for (const instance of instances) await instance.server.shut();
  for (let index = 0; index < 5; index += 1) {
    const id = `refused-${index}`;
    const answer = await send(cluster.nodes[index % 3].callers, {
      path: '/services/dispatch/orders',
      key: RECEPTION,
      headers: {'idempotency-key': id},
      body: {id},
    });
    const told = answer.error?.run === 'not-run';
    const ran = instances[0].runs.has(id);
    note(checks, 'a refusal that says "not run" is true', told && !ran);
  }
  for (const instance of instances) await instance.server.open();
}

async function checkInForce(cluster: Cluster, checks: Checks): Promise<void> {
  let last = 0;
  for (const node of [...cluster.nodes, ...cluster.nodes]) {
    const state = last % 2 ? 'in' : 'out';
    const spec = {region: 'lahore', state};
    const revision = await declare(node, [
      {kind: 'FailureDomain', name: 'johar', spec},
    ]);
    const kept = await inForce(cluster, revision, IN_FORCE_MS).then(
      () => true,
      () => false,
    );
    note(checks, 'in force everywhere in 8 s, never reverts', kept);
    note(checks, 'in force everywhere in 8 s, never reverts', revision > last);
    last = revision;
  }
}

async function checkStop(cluster: Cluster, checks: Checks): Promise<void> {
  const [, , leaving] = cluster.nodes;
  const prompts = Array.from({length: 8}, (_, at) => `while stopping ${at}`);
  const streams = prompts.map(prompt => chat(leaving.callers, CHOIR, prompt));
  const code = await leaving.stop();
  note(checks, 'a planned stop cuts no request', code === 0);
  for (const [index, stream] of streams.entries()) {
    const answer = await stream;
    const kept =
      isWhole(answer, prompts[index]) || answer.error?.run === 'not-run';
    note(checks, 'a planned stop cuts no request', kept);
  }
}

async function checkBills(cluster: Cluster, checks: Checks, served: number) {
  await new Promise(resolve => setTimeout(resolve, 2_500));
  const bills = [...cluster.store.items.values()]
    .filter(item => item.key.startsWith('bill/'))
    .flatMap(item => (item.value as {bills: Array<{requestId: string}>}).bills);
  const distinct = new Set(bills.map(bill => bill.requestId));
  note(checks, 'billed once: no repeats', distinct.size === bills.length);
  note(checks, 'billed once: none missing', distinct.size >= served);
}

function showDecisions(cluster: Cluster): void {
  const lines = readFileSync(cluster.nodes[0].logFile, 'utf8').split('\n');
  console.log('\nsome decision lines of vm-1:');
  for (const decision of ['path', 'upstream', 'service', 'allocator']) {
    const line = lines.find(text => text.includes(`"decision":"${decision}"`));
    if (line) console.log(`  ${line}`);
  }
}

/** Runs the demo; resolves with the number of violations. */
export async function runDemo(): Promise<number> {
  const checks: Checks = new Map();
  const say = (text: string) => console.log(text);
  say('starting 3 nodes in 2 failure domains, with stand-ins around them');
  const cluster = await startCluster({
    domains: ['bayanzurkh', 'sukhbaatar', 'bayanzurkh'],
  });
  const hymn = await startEngines(
    'hymn-engine',
    ['bayanzurkh', 'sukhbaatar', 'khan-uul'],
    {versions: ['hymn-1', 'hymn-2', 'announce-1']},
  );
  const basket = await startEngines('basket-engine', ['gulberg', 'dha'], {
    versions: ['basket-1'],
  });
  const dispatch = await startServices('dispatch', ['gulberg', 'johar']);
  const pools = [hymn, basket, dispatch];
  try {
    say('applying examples/ with the command line');
    const {stdout} = await run(
      process.execPath,
      [
        ROUTER,
        'apply',
        '-f',
        'examples',
        '--server',
        cluster.nodes[0].operators,
      ],
      {env: {...process.env, PARSLEYARCH_KEY: OPERATOR_KEY}},
    );
    say(stdout.trimEnd());
    const revision = await declare(
      cluster.nodes[1],
      pools.flatMap(pool => pool.declarations),
    );
    await inForce(cluster, revision);
    say(`revision ${revision} is in force on all nodes; sending traffic`);
    let served = await streamTraffic(cluster, checks, CHOIR, 'hymn', 60);
    served += await streamTraffic(cluster, checks, RECEPTION, 'basket', 40);
    await checkOrders(
      cluster,
      checks,
      [...dispatch.instances.values()][0].runs,
    );
    await checkSessions(cluster, checks);
    await checkDomainOut(cluster, checks, hymn);
    await checkAllowed(cluster, checks);
    await checkWithdrawn(cluster, checks, hymn);
    await checkLeaving(cluster, checks, hymn);
    await checkNotRun(cluster, checks, dispatch);
    await checkInForce(cluster, checks);
    await checkBills(cluster, checks, served);
    await checkStop(cluster, checks);
    const crashes = [...hymn.instances.values(), ...basket.instances.values()]
      .map(engine => engine.crashes)
      .reduce((a, b) => a + b, 0);
    note(checks, 'a fresh upstream gets no more than it bears', crashes === 0);
    showDecisions(cluster);
    say(`\n${served} of 100 first requests were answered in full`);
  } finally {
    await closeCluster(cluster);
    for (const pool of pools)
      for (const instance of pool.instances.values())
        await instance.server.close();
  }
  say('\npromise                                        checks  violations');
  let violations = 0;
  for (const [promise, check] of checks) {
    violations += check.violations;
    const counts =
      `${check.checks}`.padStart(6) + `${check.violations}`.padStart(12);
    say(promise.padEnd(46) + counts);
  }
  return violations;
}
