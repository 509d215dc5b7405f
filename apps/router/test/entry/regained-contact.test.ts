/** Tests of nodes that reach the store and other nodes again after a disruption. */
import {BOTH_DIRECTIONS, type Direction} from '@parsleyarch/standins/proxy';
import {seededRandom} from '@parsleyarch/standins/measures/figures';
import test, {type ExecutionContext} from 'ava';
import '../exit.js';
import {startChanges} from './changes.js';
import {
  cutLinks,
  linksOf,
  peerLinksOf,
  startLinkedSite,
  type LinkedNode,
  type LinkedSite,
} from './links.js';
import {configure, route, startNode} from './site.js';

const DOMAIN_COUNT = 3;
const NODE_COUNT = 9;
/** Time for which changes are checked after the last disruption, milliseconds. */
const CHECKED_MS = 6_000;
/** Time between the cuts of two nodes, so that their calls are out of phase. */
const CUT_INTERVAL_MS = 300;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

type Run = (
  linked: LinkedSite,
  changes: ReturnType<typeof startChanges>,
) => Promise<void>;

/** Runs disruptions beside changes, and checks that no change is late. */
async function checkChanges(t: ExecutionContext, run: Run): Promise<void> {
  const linked = await startLinkedSite(t, DOMAIN_COUNT, NODE_COUNT);
  const changes = startChanges(linked);
  await run(linked, changes);
  await wait(CHECKED_MS);
  const late = changes.stop();
  t.log(late);
  t.deepEqual(late, []);
}

/**
 * Cuts nodes one after the other from the store and from all nodes; all paths return
 * at the same time.
 */
function cutNodes(
  select: (nodes: readonly LinkedNode[]) => readonly LinkedNode[],
  cutMs: number,
  directions: readonly Direction[] = BOTH_DIRECTIONS,
): Run {
  return async (linked, changes) => {
    const cut = select(linked.nodes);
    const heals: Array<() => void> = [];
    for (const node of cut) {
      changes.lose(node);
      heals.push(cutLinks(linksOf(linked, node), directions));
      await wait(CUT_INTERVAL_MS);
    }
    await wait(cutMs);
    for (const heal of heals) heal();
    for (const node of cut) changes.regain(node);
  };
}

test('changes are in force in time at followers that had no path for 10 to 12 s', t =>
  checkChanges(
    t,
    cutNodes(nodes => nodes.slice(3), 10_000),
  ));

test('changes are in force in time after all nodes had no path for 6 s', t =>
  checkChanges(
    t,
    cutNodes(nodes => nodes, 6_000),
  ));

test('changes are in force in time at nodes that got no answers for 7 s', t =>
  checkChanges(
    t,
    cutNodes(nodes => nodes.slice(2), 7_000, ['from server']),
  ));

test('changes are in force in time after all open connections fell silent', t =>
  checkChanges(t, async (linked, changes) => {
    await wait(1_000);
    for (const node of linked.nodes) changes.lose(node);
    for (const node of linked.nodes) {
      for (const link of linksOf(linked, node)) link.silenceOpen();
      changes.regain(node);
    }
  }));

test('changes are in force in time at nodes that had no path while all others were replaced', t =>
  checkChanges(t, async (linked, changes) => {
    const cut = linked.nodes.slice(5);
    const links = cut.flatMap(node => linksOf(linked, node));
    const heal = cutLinks(links, BOTH_DIRECTIONS);
    for (const node of linked.nodes) changes.lose(node);
    for (const {entry} of linked.nodes.slice(0, 5)) {
      entry.node.settings.stop.graceSeconds = 0;
      void entry.stop();
      await startNode(linked.site, {
        node: `new-${entry.node.settings.node}`,
        failureDomain: entry.node.settings.failureDomain,
      });
    }
    await wait(8_000);
    heal();
    for (const node of cut) changes.regain(node);
  }));

test('changes are in force in time at nodes that reach the store only', t =>
  checkChanges(t, async linked => {
    const cut = linked.nodes.slice(4);
    const links = cut.flatMap(node => peerLinksOf(linked, node));
    const heal = cutLinks(links, BOTH_DIRECTIONS);
    await wait(5_000);
    heal();
  }));

/** Time from a loss of connections after which nodes are in touch again, milliseconds. */
const CONTACT_MS = 3_000;
/** Time in which a change, and the leaving of an upstream, must be in force. */
const APPLY_MS = 2_000;

// Guards against nodes that wait for changes on connections that are silent for good.
for (const [seed, share] of [
  [1, 0.7],
  [2, 0.7],
  [3, 0.4],
]) {
  test(`a route and the leaving of an upstream are known in time after ${share} of the open connections fell silent, seed ${seed}`, async t => {
    const linked = await startLinkedSite(t, DOMAIN_COUNT, NODE_COUNT);
    const random = seededRandom(seed);
    const {site, nodes} = linked;
    await wait(1_000);
    for (const link of new Set(nodes.flatMap(node => linksOf(linked, node)))) {
      if (random() < share) link.silenceOpen();
    }
    await wait(CONTACT_MS + 1_500);
    configure(site, [route({path_prefix: '/severed/'})]);
    await wait(500);
    const [leaving] = site.runners;
    leaving.register({state: 'draining'});
    const isKnown = ({entry: {node}}: LinkedNode) =>
      node.routes?.table.routes[0].pathPrefix === '/severed/' &&
      node.upstreams.get(leaving.id)?.registered.draining === true;
    await wait(APPLY_MS);
    const late = nodes.filter(node => !isKnown(node));
    t.deepEqual(
      late.map(({entry}) => entry.node.settings.node),
      [],
    );
  });
}
