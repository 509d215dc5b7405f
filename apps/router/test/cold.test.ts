import {chat} from '@parsleyarch/standins/client';
import {operate, until} from '@parsleyarch/standins/cluster';
import {
  crash,
  turnCold,
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
    engine: {coldLimit: 2, warmLimit: 12, warmEvery: 1},
    logLevel: 'info',
  });
});

test.after.always(() => closeScenario(scenario));

const engines = () => [...scenario.engines.instances.values()];

/** Sends rounds of requests through all nodes at once; counts whole answers. */
async function flood(rounds: number, skip?: string): Promise<number> {
  let whole = 0;
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
      if (answer.whole) whole += 1;
    }
  }
  return whole;
}

function noteOverload(engine: EngineStandIn): number {
  const {overload} = engine;
  engine.overload = -Infinity;
  return overload;
}

async function allocatorOf(upstream: string): Promise<string> {
  const [node] = scenario.cluster.nodes;
  const answer = await operate(node, 'GET', '/v1/Allocator');
  const {items} = answer.json as {
    items: Array<{name: string; spec: {node: string}}>;
  };
  const {groupOf} = await import('../src/allocators.js');
  const group = items.find(item => item.name === groupOf(upstream));
  return group!.spec.node;
}

test.serial(
  'nine nodes give a cold upstream no more than it bears',
  async t => {
    const whole = await flood(6);
    t.true(whole > 0);
    for (const engine of engines()) {
      t.is(engine.crashes, 0);
      t.true(noteOverload(engine) <= 0);
    }
  },
);

test.serial(
  'an upstream that restarts is treated as cold by all nodes',
  async t => {
    const [engine] = engines();
    await crash(engine);
    const crashes = engine.crashes;
    const whole = await flood(4);
    t.true(whole > 0);
    t.is(engine.crashes, crashes);
    t.true(noteOverload(engine) <= 0);
  },
);

test.serial('a silent cold turn is noticed from the load report', async t => {
  const [engine] = engines();
  // The last successes before the turn are not reported to the allocator yet.
  await flood(2);
  turnCold(engine);
  // The report that shows it comes a period later.
  const reportMs = engine.options.reportMs;
  await new Promise(resolve => setTimeout(resolve, 2 * reportMs));
  noteOverload(engine);
  t.true((await flood(3)) > 0);
  t.true(noteOverload(engine) <= 0);
});

test.serial(
  'a killed allocator is replaced, and the limit still holds',
  async t => {
    const [name] = scenario.engines.instances.keys();
    const old = await allocatorOf(name);
    const victim = scenario.cluster.nodes.find(node => node.name === old)!;
    const traffic = flood(6, old);
    await victim.kill();
    await traffic;
    scenario.cluster.vmList.vms.delete(old);
    scenario.cluster.nodes.splice(scenario.cluster.nodes.indexOf(victim), 1);
    await until(
      'a new allocator',
      async () => (await allocatorOf(name)) !== old,
    );
    const [engine] = engines();
    const before = engine.begun.get('hymn-1') ?? 0;
    await until('work on the upstream again', async () => {
      await flood(1);
      return (engine.begun.get('hymn-1') ?? 0) > before;
    });
    for (const each of engines()) t.true(noteOverload(each) <= 0);
  },
);

test.serial(
  'a frozen allocator that wakes grants nothing beyond the limit',
  async t => {
    const [, name] = scenario.engines.instances.keys();
    const old = await allocatorOf(name);
    const paused = scenario.cluster.nodes.find(node => node.name === old)!;
    paused.freeze();
    await until('a new allocator', async () => {
      const others = scenario.cluster.nodes.filter(node => node !== paused);
      const answer = await operate(others[0], 'GET', '/v1/Allocator');
      const {items} = answer.json as {items: Array<{spec: {node: string}}>};
      return items.every(item => item.spec.node !== old);
    });
    await flood(2, old);
    paused.thaw();
    await flood(4);
    for (const each of engines()) t.true(noteOverload(each) <= 0);
  },
);
