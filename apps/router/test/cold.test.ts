import {chat} from '@parsleyarch/standins/client';
import {sendOperatorRequest, until} from '@parsleyarch/standins/cluster';
import {
  crash,
  resetWarmup,
  type EngineStandIn,
} from '@parsleyarch/standins/engine';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test from 'ava';
import './exit.js';

let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: Array.from({length: 9}, (_, index) =>
      ['gulberg', 'dha', 'johar'].at(index % 3)!,
    ),
    engineDomains: ['gulberg', 'dha'],
    engine: {coldLimit: 2, warmLimit: 12, completionsPerLimitStep: 1},
    logLevel: 'info',
  });
});

test.after.always(() => closeScenario(scenario));

const engines = () => [...scenario.engines.instances.values()];

/** Sends rounds of requests through all nodes; counts complete answers. */
async function flood(rounds: number, skip?: string): Promise<number> {
  let completeCount = 0;
  const nodes = scenario.cluster.nodes.filter(node => node.name !== skip);
  for (let round = 0; round < rounds; round += 1) {
    const answers = await Promise.all(
      nodes.flatMap((node, index) =>
        [0, 1, 2].map(part =>
          chat(node.callers, CUSTOMER_KEY, `flood ${round}/${index}/${part}`),
        ),
      ),
    );
    for (const answer of answers) {
      if (answer.complete) completeCount += 1;
    }
  }
  return completeCount;
}

function resetOverload(engine: EngineStandIn): number {
  const {peakExcessJobs} = engine;
  engine.peakExcessJobs = -Infinity;
  return peakExcessJobs;
}

async function allocatorOf(upstream: string): Promise<string> {
  const [node] = scenario.cluster.nodes;
  const answer = await sendOperatorRequest(node, 'GET', '/v1/Allocator');
  const {items} = answer.json as {
    items: Array<{name: string; spec: {node: string}}>;
  };
  const {groupOf} = await import('../src/allocators.js');
  const group = items.find(item => item.name === groupOf(upstream));
  return group!.spec.node;
}

test.serial(
  'nine nodes together do not exceed the limit of a cold upstream',
  async t => {
    const completeCount = await flood(6);
    t.true(completeCount > 0);
    for (const engine of engines()) {
      t.is(engine.crashes, 0);
      t.true(resetOverload(engine) <= 0);
    }
  },
);

test.serial(
  'an upstream that restarts is treated as cold by all nodes',
  async t => {
    const [engine] = engines();
    await crash(engine);
    const crashes = engine.crashes;
    const completeCount = await flood(4);
    t.true(completeCount > 0);
    t.is(engine.crashes, crashes);
    t.true(resetOverload(engine) <= 0);
  },
);

test.serial('a load report reveals a silent cold start', async t => {
  const [engine] = engines();
  // Leaves successes of the warm upstream that are not reported yet.
  await flood(2);
  resetWarmup(engine);
  // The load report that shows the cold start follows within one period.
  const reportMs = engine.options.reportMs;
  await new Promise(resolve => setTimeout(resolve, 2 * reportMs));
  resetOverload(engine);
  t.true((await flood(3)) > 0);
  t.true(resetOverload(engine) <= 0);
});

test.serial(
  'a killed allocator is replaced, and the limit is not exceeded',
  async t => {
    const [name] = scenario.engines.instances.keys();
    const old = await allocatorOf(name);
    const killed = scenario.cluster.nodes.find(node => node.name === old)!;
    const traffic = flood(6, old);
    await killed.kill();
    await traffic;
    scenario.cluster.vmList.vms.delete(old);
    scenario.cluster.nodes.splice(scenario.cluster.nodes.indexOf(killed), 1);
    await until(
      'a new allocator',
      async () => (await allocatorOf(name)) !== old,
    );
    const [engine] = engines();
    const before = engine.startedJobs.get('hymn-1') ?? 0;
    await until('requests on the upstream again', async () => {
      await flood(1);
      return (engine.startedJobs.get('hymn-1') ?? 0) > before;
    });
    for (const each of engines()) t.true(resetOverload(each) <= 0);
  },
);

test.serial(
  'an allocator that resumes after a freeze does not exceed the limit',
  async t => {
    const [, name] = scenario.engines.instances.keys();
    const old = await allocatorOf(name);
    const frozen = scenario.cluster.nodes.find(node => node.name === old)!;
    frozen.freeze();
    await until('a new allocator', async () => {
      const others = scenario.cluster.nodes.filter(node => node !== frozen);
      const answer = await sendOperatorRequest(
        others[0],
        'GET',
        '/v1/Allocator',
      );
      const {items} = answer.json as {items: Array<{spec: {node: string}}>};
      return items.every(item => item.spec.node !== old);
    });
    await flood(2, old);
    frozen.thaw();
    await flood(4);
    for (const each of engines()) t.true(resetOverload(each) <= 0);
  },
);
