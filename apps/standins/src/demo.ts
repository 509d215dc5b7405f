/** Demonstrates the router against stand-ins in about half a minute. */
import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import {promisify} from 'node:util';
import {chat, sendRequest, type CallerAnswer} from './client.js';
import {
  applyChanges,
  closeCluster,
  type Cluster,
  OPERATOR_KEY,
  ROUTER_BUNDLE,
  sendOperatorRequest,
  startCluster,
  waitForRevision,
} from './cluster.js';
import {startEngines, startServices, type Pool} from './deployment.js';
import {expectedAnswer, type EngineStandIn} from './engine.js';
import type {ServiceStandIn} from './service.js';

const execFileAsync = promisify(execFile);
/** Time within which an accepted change must be in force on every node. */
const PROPAGATION_TIMEOUT_MS = 8_000;
/** Keys of two customers that `examples/` declares. */
const CHOIR_KEY = 'key-of-st-nicholas-choir';
const RECEPTION_KEY = 'key-of-office-tower-reception';

/** Counts of one promise. */
interface Check {
  checks: number;
  violations: number;
}

type Checks = Map<string, Check>;

function recordCheck(checks: Checks, promise: string, holds: boolean): void {
  const check = checks.get(promise) ?? {checks: 0, violations: 0};
  check.checks += 1;
  if (!holds) check.violations += 1;
  checks.set(promise, check);
}

function isCorrectAnswer(answer: CallerAnswer, prompt: string): boolean {
  const version = String(answer.headers['x-version']);
  return (
    answer.complete &&
    answer.text === expectedAnswer(version, `user: ${prompt}`, 64)
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
  const outcomes = await Promise.all(
    Array.from({length: count}, async (_, index) => {
      await new Promise(resolve => setTimeout(resolve, index * 15));
      const prompt = `${model} request ${index}`;
      const node = nodes[index % nodes.length];
      const answer = await chat(node.callers, key, prompt, {model});
      const notRun = answer.error?.run === 'not-run';
      const correct = isCorrectAnswer(answer, prompt);
      recordCheck(checks, 'whole answer to its own request', correct || notRun);
      return correct;
    }),
  );
  return outcomes.filter(Boolean).length;
}

async function checkOrders(
  cluster: Cluster,
  checks: Checks,
  runs: Map<string, number>,
): Promise<void> {
  const order = (index: number, id: string) =>
    sendRequest(cluster.nodes[index].callers, {
      path: '/services/dispatch/orders',
      key: RECEPTION_KEY,
      headers: {'idempotency-key': id},
      body: {id},
    });
  for (let index = 0; index < 10; index += 1) {
    const id = `order-${index}`;
    await Promise.all([order(0, id), order(1, id), order(2, id)]);
    recordCheck(checks, 'at most once', (runs.get(id) ?? 0) <= 1);
  }
}

async function checkSessions(cluster: Cluster, checks: Checks): Promise<void> {
  const versionBySession = new Map<string, string>();
  const sendRound = async (round: number) => {
    for (let index = 0; index < 12; index += 1) {
      const node = cluster.nodes[(index + round) % cluster.nodes.length];
      const answer = await chat(node.callers, CHOIR_KEY, 'a verse', {
        headers: {'x-session-id': `leader-${index}`},
      });
      const version = answer.headers['x-version'];
      if (typeof version !== 'string') continue;
      const before = versionBySession.get(`leader-${index}`) ?? version;
      recordCheck(checks, 'a session keeps its version', before === version);
      versionBySession.set(`leader-${index}`, version);
    }
  };
  await sendRound(0);
  const rollout = {model: 'hymn', from: 'hymn-1', to: 'hymn-2'};
  const revision = await applyChanges(cluster.nodes[0], [
    {kind: 'Rollout', name: 'h2', spec: {...rollout, steps: [50], step: 0}},
  ]);
  await waitForRevision(cluster, revision);
  await sendRound(1);
}

async function checkDomainOut(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  // The first engine is in the failure domain that is taken out.
  const [, engine] = [...engines.instances][0];
  const answer = await sendOperatorRequest(
    cluster.nodes[0],
    'PUT',
    '/v1/FailureDomain/bayanzurkh',
    {
      region: 'ulaanbaatar',
      state: 'out',
    },
  );
  const {revision} = answer.json as {revision: number};
  await waitForRevision(cluster, revision, PROPAGATION_TIMEOUT_MS);
  const outAt = Date.now();
  await streamTraffic(cluster, checks, CHOIR_KEY, 'hymn', 40);
  recordCheck(
    checks,
    'a domain that is out gets no new work',
    engine.lastStartedAt < outAt,
  );
}

async function checkModelAccess(
  cluster: Cluster,
  checks: Checks,
): Promise<void> {
  const [node] = cluster.nodes;
  const pairs = [
    [CHOIR_KEY, 'basket'],
    [RECEPTION_KEY, 'hymn'],
    [RECEPTION_KEY, 'announce'],
  ];
  for (const [key, model] of pairs) {
    const answer = await chat(node.callers, key, 'not mine', {model});
    const refused = answer.error?.kind === 'model-not-allowed';
    recordCheck(checks, 'only allowed models and versions', refused);
  }
}

async function checkWithdrawnVersion(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  const startedCount = () =>
    [...engines.instances.values()].reduce(
      (sum, engine) => sum + (engine.startedJobs.get('hymn-2') ?? 0),
      0,
    );
  const spec = {model: 'hymn', tokenCost: 18, state: 'withdrawn'};
  const revision = await applyChanges(cluster.nodes[2], [
    {kind: 'Version', name: 'hymn-2', spec},
  ]);
  await waitForRevision(cluster, revision, PROPAGATION_TIMEOUT_MS);
  const before = startedCount();
  await streamTraffic(cluster, checks, CHOIR_KEY, 'hymn', 30);
  recordCheck(
    checks,
    'a withdrawn version gets no new work',
    startedCount() === before,
  );
}

async function checkDraining(
  cluster: Cluster,
  checks: Checks,
  engines: Pool<EngineStandIn>,
): Promise<void> {
  const declared = engines.declarations[1];
  const spec = {...declared.spec, state: 'draining'};
  const revision = await applyChanges(cluster.nodes[0], [{...declared, spec}]);
  await waitForRevision(cluster, revision, PROPAGATION_TIMEOUT_MS);
  const since = Date.now();
  await streamTraffic(cluster, checks, CHOIR_KEY, 'hymn', 20);
  const engine = engines.instances.get(declared.name)!;
  const promise = 'an upstream that is leaving gets no new work';
  recordCheck(checks, promise, engine.lastStartedAt < since);
}

async function checkNotRun(
  cluster: Cluster,
  checks: Checks,
  dispatch: Pool<ServiceStandIn>,
): Promise<void> {
  const instances = [...dispatch.instances.values()];
  for (const instance of instances) await instance.server.stop();
  for (let index = 0; index < 5; index += 1) {
    const id = `refused-${index}`;
    const answer = await sendRequest(cluster.nodes[index % 3].callers, {
      path: '/services/dispatch/orders',
      key: RECEPTION_KEY,
      headers: {'idempotency-key': id},
      body: {id},
    });
    const reported = answer.error?.run === 'not-run';
    const ran = instances[0].runs.has(id);
    recordCheck(
      checks,
      'a refusal that says "not run" is true',
      reported && !ran,
    );
  }
  for (const instance of instances) await instance.server.restart();
}

async function checkPropagation(
  cluster: Cluster,
  checks: Checks,
): Promise<void> {
  let lastRevision = 0;
  for (const node of [...cluster.nodes, ...cluster.nodes]) {
    const state = lastRevision % 2 ? 'in' : 'out';
    const spec = {region: 'lahore', state};
    const revision = await applyChanges(node, [
      {kind: 'FailureDomain', name: 'johar', spec},
    ]);
    const inTime = await waitForRevision(
      cluster,
      revision,
      PROPAGATION_TIMEOUT_MS,
    ).then(
      () => true,
      () => false,
    );
    recordCheck(checks, 'in force everywhere in 8 s, never reverts', inTime);
    recordCheck(
      checks,
      'in force everywhere in 8 s, never reverts',
      revision > lastRevision,
    );
    lastRevision = revision;
  }
}

async function checkGracefulStop(
  cluster: Cluster,
  checks: Checks,
): Promise<void> {
  const [, , stoppingNode] = cluster.nodes;
  const prompts = Array.from(
    {length: 8},
    (_, index) => `while stopping ${index}`,
  );
  const streams = prompts.map(prompt =>
    chat(stoppingNode.callers, CHOIR_KEY, prompt),
  );
  const code = await stoppingNode.stop();
  recordCheck(checks, 'a planned stop cuts no request', code === 0);
  for (const [index, stream] of streams.entries()) {
    const answer = await stream;
    const honored =
      isCorrectAnswer(answer, prompts[index]) ||
      answer.error?.run === 'not-run';
    recordCheck(checks, 'a planned stop cuts no request', honored);
  }
}

async function checkBills(cluster: Cluster, checks: Checks, served: number) {
  // Nodes write their bills to the store about once a second.
  await new Promise(resolve => setTimeout(resolve, 2_500));
  const bills = [...cluster.store.items.values()]
    .filter(item => item.key.startsWith('bill/'))
    .flatMap(item => (item.value as {bills: Array<{requestId: string}>}).bills);
  const distinct = new Set(bills.map(bill => bill.requestId));
  recordCheck(
    checks,
    'billed once: no repeats',
    distinct.size === bills.length,
  );
  recordCheck(checks, 'billed once: none missing', distinct.size >= served);
}

function printDecisions(cluster: Cluster): void {
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
  const print = (text: string) => console.log(text);
  print('starting 3 nodes in 2 failure domains, with stand-ins around them');
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
    print('applying examples/ with the command line');
    const {stdout} = await execFileAsync(
      process.execPath,
      [
        ROUTER_BUNDLE,
        'apply',
        '-f',
        'examples',
        '--server',
        cluster.nodes[0].operators,
      ],
      {env: {...process.env, PARSLEYARCH_KEY: OPERATOR_KEY}},
    );
    print(stdout.trimEnd());
    const revision = await applyChanges(
      cluster.nodes[1],
      pools.flatMap(pool => pool.declarations),
    );
    await waitForRevision(cluster, revision);
    print(`revision ${revision} is in force on all nodes; sending traffic`);
    let served = await streamTraffic(cluster, checks, CHOIR_KEY, 'hymn', 60);
    served += await streamTraffic(cluster, checks, RECEPTION_KEY, 'basket', 40);
    await checkOrders(
      cluster,
      checks,
      [...dispatch.instances.values()][0].runs,
    );
    await checkSessions(cluster, checks);
    await checkDomainOut(cluster, checks, hymn);
    await checkModelAccess(cluster, checks);
    await checkWithdrawnVersion(cluster, checks, hymn);
    await checkDraining(cluster, checks, hymn);
    await checkNotRun(cluster, checks, dispatch);
    await checkPropagation(cluster, checks);
    await checkBills(cluster, checks, served);
    await checkGracefulStop(cluster, checks);
    const crashes = [...hymn.instances.values(), ...basket.instances.values()]
      .map(engine => engine.crashes)
      .reduce((a, b) => a + b, 0);
    recordCheck(
      checks,
      'a fresh upstream gets no more than it bears',
      crashes === 0,
    );
    printDecisions(cluster);
    print(`\n${served} of 100 first requests were answered in full`);
  } finally {
    await closeCluster(cluster);
    for (const pool of pools)
      for (const instance of pool.instances.values())
        await instance.server.close();
  }
  print('\npromise                                        checks  violations');
  let violations = 0;
  for (const [promise, check] of checks) {
    violations += check.violations;
    const counts =
      `${check.checks}`.padStart(6) + `${check.violations}`.padStart(12);
    print(promise.padEnd(46) + counts);
  }
  return violations;
}
