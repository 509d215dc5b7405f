import {send} from '@parsleyarch/standins/client';
import {declare, inForce} from '@parsleyarch/standins/cluster';
import {startProxy, type FaultProxy} from '@parsleyarch/standins/proxy';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import test, {type ExecutionContext} from 'ava';
import './exit.js';

let scenario: Scenario;
let proxy: FaultProxy;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha'],
    engineDomains: [],
    serviceDomains: ['gulberg'],
  });
  const [instance] = scenario.services.instances.values();
  const [declared] = scenario.services.declarations;
  proxy = await startProxy(instance.server.port);
  const spec = {...declared.spec, address: proxy.address};
  const revision = await declare(scenario.cluster.nodes[0], [
    {...declared, spec},
  ]);
  await inForce(scenario.cluster, revision);
});

test.after.always(async () => {
  await closeScenario(scenario);
  await proxy.close();
});

async function order(id: string) {
  return send(scenario.cluster.nodes[0].callers, {
    path: '/services/board/orders',
    key: CUSTOMER_KEY,
    headers: {'idempotency-key': id},
    body: {id},
  });
}

/** Cuts order connections at each of many bytes, one way or the other. */
async function checkCuts(
  t: ExecutionContext,
  way: 'cutUpAt' | 'cutDownAt',
  last: number,
): Promise<void> {
  const [instance] = scenario.services.instances.values();
  let told = 0;
  for (let at = 0; at < last; at += 15) {
    proxy.fault = () => ({[way]: at});
    const id = `${way}-${at}`;
    const answer = await order(id);
    proxy.fault = () => ({});
    const runs = instance.runs.get(id) ?? 0;
    t.true(runs <= 1);
    if (answer.error?.run === 'not-run') t.is(runs, 0, id);
    if (answer.status === 200) t.is(runs, 1, id);
    if (answer.error) told += 1;
  }
  t.true(told > 0);
}

test.serial('"not run" is true at whatever byte a request is cut', t =>
  checkCuts(t, 'cutUpAt', 420),
);

test.serial('"not run" is true at whatever byte an answer is cut', t =>
  checkCuts(t, 'cutDownAt', 240),
);

test.serial('a refused connection is not run, and frees the key', async t => {
  const [instance] = scenario.services.instances.values();
  const {items} = scenario.cluster.store;
  // The report stream stays, so the instance is chosen and the key claimed.
  await proxy.refuse(true);
  const refused = await order('refused');
  t.is(refused.error?.run, 'not-run');
  t.is(instance.runs.get('refused') ?? 0, 0);
  t.true(items.has('once/choir/refused'));
  await proxy.refuse(false);
  const answer = await order('refused');
  t.is(answer.status, 200, answer.text);
  t.is(instance.runs.get('refused'), 1);
});
