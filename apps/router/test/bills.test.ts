import {readBills} from '@parsleyarch/standins/bills';
import {chat, sendRequest} from '@parsleyarch/standins/client';
import {until} from '@parsleyarch/standins/cluster';
import {expectedAnswer} from '@parsleyarch/standins/engine';
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
    engineDomains: ['gulberg', 'dha', 'johar'],
  });
});

test.after.always(() => closeScenario(scenario));

/**
 * Sends requests one by one to a node; returns the ids of the complete answers.
 */
async function serve(index: number, count: number): Promise<string[]> {
  const node = scenario.cluster.nodes[index];
  const ids: string[] = [];
  for (let round = 0; round < count; round += 1) {
    const answer = await chat(node.callers, CUSTOMER_KEY, `bill ${round}`);
    if (answer.complete) ids.push(String(answer.headers['x-request-id']));
  }
  return ids;
}

/** Number of bills for a request over all batches, duplicates included. */
function countBills(id: string): number {
  let times = 0;
  for (const {key, value} of scenario.cluster.store.items.values()) {
    if (!key.startsWith('bill/')) continue;
    const {bills} = value as {bills: Array<{requestId: string}>};
    times += bills.filter(bill => bill.requestId === id).length;
  }
  return times;
}

function waitForBills(ids: readonly string[]): Promise<void> {
  return until('all bills', () => {
    const stored = new Set(
      readBills(scenario.cluster.store).map(b => b.requestId),
    );
    return ids.every(id => stored.has(id));
  });
}

/**
 * Waits for two later batches of a node, in which a duplicate bill would
 * appear.
 */
async function waitForLaterBatches(index: number): Promise<void> {
  for (let round = 0; round < 2; round += 1)
    await waitForBills(await serve(index, 1));
}

test.serial('each answer is billed once', async t => {
  const ids = await serve(0, 8);
  t.true(ids.length > 0);
  await waitForBills(ids);
  await waitForLaterBatches(0);
  for (const id of ids) t.is(countBills(id), 1);
});

test.serial(
  'answers are billed once when store responses are lost',
  async t => {
    const {store} = scenario.cluster;
    let writes = 0;
    store.faults.loseWriteResponse = key =>
      key.startsWith('bill/') && (writes += 1) % 2 === 1;
    const ids = await serve(1, 8);
    await waitForBills(ids);
    await waitForLaterBatches(1);
    store.faults.loseWriteResponse = () => false;
    for (const id of ids) t.is(countBills(id), 1);
  },
);

test.serial(
  'an idempotency key that is sent again through another node is billed once',
  async t => {
    const [first, second] = scenario.cluster.nodes;
    const headers = {'idempotency-key': 'order-of-service-7'};
    const options = {headers};
    const answers = [
      await chat(first.callers, CUSTOMER_KEY, 'again', options),
      await chat(second.callers, CUSTOMER_KEY, 'again', options),
    ];
    t.true(answers.every(answer => answer.complete));
    const matching = () =>
      readBills(scenario.cluster.store).filter(bill =>
        bill.requestId.startsWith('order-of-service-7/'),
      );
    await until('the bill', () => matching().length > 0);
    t.is(matching().length, 1);
  },
);

test.serial(
  'a caller that disconnects is billed once, for the tokens generated until then',
  async t => {
    const [first] = scenario.cluster.nodes;
    for (const engine of scenario.engines.instances.values())
      engine.tokenIntervalMs = 60;
    const disconnect = new AbortController();
    const aborted = sendRequest(
      first.callers,
      {
        path: '/v1/chat/completions',
        key: CUSTOMER_KEY,
        headers: {'idempotency-key': 'leaver'},
        body: {
          model: 'hymn',
          messages: [{role: 'user', content: 'leaves early'}],
          stream: true,
        },
      },
      disconnect.signal,
    );
    setTimeout(() => disconnect.abort(), 300);
    t.truthy((await aborted).connectionError);
    for (const engine of scenario.engines.instances.values())
      engine.tokenIntervalMs = undefined;
    const bills = () =>
      readBills(scenario.cluster.store).filter(bill =>
        bill.requestId.startsWith('leaver/'),
      );
    await until('the bill', () => bills().length === 1);
    const fullText = expectedAnswer('hymn-1', 'user: leaves early', 256);
    t.true(bills()[0].tokens > 0);
    t.true(bills()[0].tokens < fullText.trim().split(' ').length);
  },
);

test.serial('bills are written after a store outage', async t => {
  const {store} = scenario.cluster;
  startOutage(store);
  const ids = await serve(0, 4);
  t.true(ids.length > 0);
  t.deepEqual(
    ids.filter(id => countBills(id) > 0),
    [],
  );
  endOutage(store);
  await waitForBills(ids);
  await waitForLaterBatches(0);
  for (const id of ids) t.is(countBills(id), 1);
});

test.serial(
  'peers write the bills of a node that is killed after the last token',
  async t => {
    const {nodes, vmList, store} = scenario.cluster;
    startOutage(store);
    const ids = await serve(2, 4);
    t.true(ids.length > 0);
    await nodes[2].kill();
    endOutage(store);
    vmList.vms.delete(nodes[2].name);
    await waitForBills(ids);
    for (const id of ids) t.is(countBills(id), 1);
  },
);
