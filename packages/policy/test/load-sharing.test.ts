import {
  hasGroups,
  listCollectors,
  shareIntervalMs,
} from '@parsleyarch/policy/load-sharing';
import {reportIntervalMs} from '@parsleyarch/policy/report-times';
import test from 'ava';

/** Nodes for which one watcher is enough. */
const MAX_FOLLOWERS = 40;

function listNodes(count: number, domains: number) {
  return Array.from({length: count}, (_, index) => ({
    name: `node-${String(index).padStart(3, '0')}`,
    failureDomain: `domain-${index % domains}`,
  }));
}

/** Calls a second that the busiest collector receives. */
function busiestCollectorCalls(count: number, domains: number): number {
  const nodes = listNodes(count, domains);
  const calls = new Map<string, number>();
  const perSecond = 1_000 / shareIntervalMs(count);
  const collectors = new Set(listCollectors(nodes, nodes[0]));
  for (const node of nodes) {
    const [collector] = listCollectors(nodes, node);
    if (node.name === collector) continue;
    calls.set(collector, (calls.get(collector) ?? 0) + perSecond);
  }
  const exchanged = hasGroups(count) ? (collectors.size - 1) * perSecond : 0;
  return Math.max(...calls.values()) + exchanged;
}

test('in a small deployment all nodes report to one collector', t => {
  const nodes = listNodes(9, 3);
  const first = new Set(nodes.map(node => listCollectors(nodes, node)[0]));
  t.deepEqual([...first], ['node-000']);
  t.is(shareIntervalMs(9), 100);
});

test('in a large deployment nodes report within their failure domain', t => {
  const nodes = listNodes(195, 5);
  for (const node of nodes) {
    const [collector] = listCollectors(nodes, node);
    const domain = nodes.find(({name}) => name === collector)?.failureDomain;
    t.is(domain, node.failureDomain);
  }
});

test('calls to the busiest collector grow with its domain, not with the fleet', t => {
  const nodesPerDomain = 39;
  const byDomains = [2, 5, 10].map(domains => {
    const perSecond = 1_000 / shareIntervalMs(nodesPerDomain * domains);
    const exchanged = (domains - 1) * perSecond;
    const calls = busiestCollectorCalls(nodesPerDomain * domains, domains);
    return Math.round(calls - exchanged);
  });
  // Its followers report, and nobody else but the other collectors.
  t.deepEqual(byDomains, Array(3).fill((nodesPerDomain - 1) * 2.5));
});

test('a collector has a bounded number of followers, however few domains there are', t => {
  for (const domains of [1, 2, 3, 5]) {
    const nodes = listNodes(195, domains);
    const followers = new Map<string, number>();
    for (const node of nodes) {
      const [collector] = listCollectors(nodes, node);
      followers.set(collector, (followers.get(collector) ?? 0) + 1);
    }
    t.true(Math.max(...followers.values()) <= 2 * MAX_FOLLOWERS);
    t.true(followers.size <= domains + 195 / MAX_FOLLOWERS);
  }
});

test('a node reports less often in a larger deployment, within bounds', t => {
  for (const interval of [shareIntervalMs, reportIntervalMs]) {
    let last = 0;
    for (const count of [1, 9, 24, 67, 195, 360, 1_000]) {
      t.true(interval(count) >= last);
      last = interval(count);
    }
    t.is(interval(360), interval(1_000));
  }
});

test('a small node adds up load only where no larger one is', t => {
  const [first, second] = listNodes(2, 1);
  const collect = (cores: number[]) =>
    listCollectors(
      [
        {...first, cores: cores[0]},
        {...second, cores: cores[1]},
      ],
      first,
    )[0];
  t.is(collect([0.2, 0.7]), second.name);
  t.is(collect([0.7, 1.3]), first.name);
});
