import {sendRequest} from '@parsleyarch/standins/client';
import {applyChanges, waitForRevision} from '@parsleyarch/standins/cluster';
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
  const revision = await applyChanges(scenario.cluster.nodes[0], [
    {...declared, spec},
  ]);
  await waitForRevision(scenario.cluster, revision);
});

test.after.always(async () => {
  await closeScenario(scenario);
  await proxy.close();
});

async function order(id: string) {
  return sendRequest(scenario.cluster.nodes[0].callers, {
    path: '/services/board/orders',
    key: CUSTOMER_KEY,
    headers: {'idempotency-key': id},
    body: {id},
  });
}

/**
 * Sends orders whose connections are cut after 0, 15, 30, ... bytes, either in
 * the request (`cutUpAt`) or in the response (`cutDownAt`).
 */
async function checkCuts(
  t: ExecutionContext,
  direction: 'cutUpAt' | 'cutDownAt',
  last: number,
): Promise<void> {
  const [instance] = scenario.services.instances.values();
  let errorCount = 0;
  for (let at = 0; at < last; at += 15) {
    proxy.fault = () => ({[direction]: at});
    const id = `${direction}-${at}`;
    const answer = await order(id);
    proxy.fault = () => ({});
    const runs = instance.runs.get(id) ?? 0;
    t.true(runs <= 1);
    if (answer.error?.run === 'not-run') t.is(runs, 0, id);
    if (answer.status === 200) t.is(runs, 1, id);
    if (answer.error) errorCount += 1;
  }
  t.true(errorCount > 0);
}

test.serial('"not run" is correct at every byte where a request is cut', t =>
  checkCuts(t, 'cutUpAt', 420),
);

test.serial('"not run" is correct at every byte where a response is cut', t =>
  checkCuts(t, 'cutDownAt', 240),
);

test.serial(
  'a call on a refused connection is not run, and its key can be used again',
  async t => {
    const [instance] = scenario.services.instances.values();
    const {items} = scenario.cluster.store;
    // The report stream stays open, so the instance is selected and the key is
    // claimed.
    await proxy.refuse(true);
    const refused = await order('refused');
    t.is(refused.error?.run, 'not-run');
    t.is(instance.runs.get('refused') ?? 0, 0);
    t.true(items.has('once/choir/refused'));
    await proxy.refuse(false);
    const answer = await order('refused');
    t.is(answer.status, 200, answer.text);
    t.is(instance.runs.get('refused'), 1);
  },
);
