import {sendRequest, type CallerAnswer} from '@parsleyarch/standins/client';
import {
  sendOperatorRequest,
  until,
  type ClusterNode,
} from '@parsleyarch/standins/cluster';
import {
  closeScenario,
  CUSTOMER_KEY,
  startScenario,
  type Scenario,
} from '@parsleyarch/standins/scenario';
import {endOutage, startOutage} from '@parsleyarch/standins/store';
import test from 'ava';
import './exit.js';

let scenario: Scenario;

test.before(async () => {
  scenario = await startScenario({
    domains: ['gulberg', 'dha', 'johar'],
    engineDomains: [],
    serviceDomains: ['gulberg', 'dha'],
  });
});

test.after.always(() => closeScenario(scenario));

function order(node: ClusterNode, id: string): Promise<CallerAnswer> {
  return sendRequest(node.callers, {
    path: '/services/board/orders',
    key: CUSTOMER_KEY,
    headers: {'idempotency-key': id},
    body: {id},
  });
}

const instances = () => [...scenario.services.instances.values()];
const runsOf = (id: string) => instances()[0].runs.get(id) ?? 0;

/** Whether the answer matches the number of runs that the instance counted. */
function isTruthful(answer: CallerAnswer, runs: number): boolean {
  if (answer.status === 200) return runs === 1;
  if (answer.error?.run === 'not-run') return true;
  return answer.error?.run === 'unknown' || answer.error?.run === 'ran';
}

test.serial(
  'concurrent calls with one key through several nodes run once',
  async t => {
    const {nodes} = scenario.cluster;
    for (let round = 0; round < 10; round += 1) {
      const id = `race-${round}`;
      const answers = await Promise.all(nodes.map(node => order(node, id)));
      t.is(runsOf(id), 1);
      t.true(answers.some(answer => answer.status === 200));
      for (const answer of answers) t.true(isTruthful(answer, 1));
    }
  },
);

test.serial(
  'a retry through another node returns the stored outcome',
  async t => {
    const [first, second] = scenario.cluster.nodes;
    const original = await order(first, 'repeat');
    const repeat = await order(second, 'repeat');
    t.deepEqual(repeat.json, original.json);
    t.is(runsOf('repeat'), 1);
  },
);

test.serial(
  'calls run once and succeed when store responses are lost',
  async t => {
    const {cluster} = scenario;
    let writes = 0;
    cluster.store.faults.loseWriteResponse = key =>
      key.startsWith('once/') && (writes += 1) % 2 === 1;
    for (let round = 0; round < 10; round += 1) {
      const id = `lost-${round}`;
      const answer = await order(cluster.nodes[round % 3], id);
      t.is(answer.status, 200, answer.text);
      t.is(runsOf(id), 1);
    }
    cluster.store.faults.loseWriteResponse = () => false;
  },
);

test.serial(
  'a call whose response is cut off after the run stays unknown',
  async t => {
    const [first, second] = scenario.cluster.nodes;
    for (const instance of instances()) instance.cutAfterRun = () => true;
    const answer = await order(first, 'cut');
    for (const instance of instances()) instance.cutAfterRun = () => false;
    t.is(answer.error?.run, 'unknown');
    const repeat = await order(second, 'cut');
    t.is(repeat.error?.kind, 'outcome-unknown');
    t.is(runsOf('cut'), 1);
  },
);

test.serial(
  'a claim is not taken over while its holder is frozen during the call',
  async t => {
    const [first, second] = scenario.cluster.nodes;
    for (const instance of instances()) instance.processingMs = 400;
    const held = order(first, 'frozen');
    await until('the claim', () =>
      scenario.cluster.store.items.has('once/choir/frozen'),
    );
    first.freeze();
    const repeat = await order(second, 'frozen');
    t.is(repeat.error?.run, 'unknown');
    first.thaw();
    for (const instance of instances()) instance.processingMs = 10;
    const answer = await held;
    t.true(isTruthful(answer, 1));
    t.is(runsOf('frozen'), 1);
  },
);

test.serial(
  'the outcome is unknown after the claim holder is killed during the call',
  async t => {
    const {nodes, store} = scenario.cluster;
    const [, , third] = nodes;
    for (const instance of instances()) instance.processingMs = 300;
    const held = order(third, 'killed');
    await until('the claim', () => store.items.has('once/choir/killed'));
    await third.kill();
    scenario.cluster.vmList.vms.delete(third.name);
    const broken = await held;
    t.truthy(broken.connectionError);
    for (const instance of instances()) instance.processingMs = 10;
    const repeat = await order(nodes[0], 'killed');
    t.is(repeat.error?.kind, 'outcome-unknown');
    t.true(runsOf('killed') <= 1);
  },
);

test.serial(
  'a call is rejected as not run while the store is down, and runs afterwards',
  async t => {
    const {nodes, store} = scenario.cluster;
    startOutage(store);
    const refused = await order(nodes[0], 'outage');
    t.is(refused.error?.run, 'not-run');
    t.is(runsOf('outage'), 0);
    endOutage(store);
    await until('the store to be back', async () => {
      const status = await sendOperatorRequest(nodes[0], 'GET', '/v1/status');
      return (status.json as {freshness: string}).freshness === 'confirmed';
    });
    await until('the call to run', async () => {
      const answer = await order(nodes[0], 'outage');
      return answer.status === 200;
    });
    t.is(runsOf('outage'), 1);
  },
);

test.serial(
  'a key that is reused with a different body is rejected',
  async t => {
    const [first] = scenario.cluster.nodes;
    await order(first, 'reuse');
    const other = await sendRequest(first.callers, {
      path: '/services/board/orders',
      key: CUSTOMER_KEY,
      headers: {'idempotency-key': 'reuse'},
      body: {id: 'something else'},
    });
    t.is(other.error?.kind, 'key-reused');
    t.is(runsOf('something else'), 0);
  },
);

test.serial(
  'a call that is not repeatable requires an idempotency key',
  async t => {
    const answer = await sendRequest(scenario.cluster.nodes[0].callers, {
      path: '/services/board/orders',
      key: CUSTOMER_KEY,
      body: {id: 'keyless'},
    });
    t.is(answer.error?.kind, 'invalid-header');
    t.is(runsOf('keyless'), 0);
  },
);
