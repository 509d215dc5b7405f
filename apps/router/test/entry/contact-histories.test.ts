/**
 * Random disruptions of links, in series and overlapping, beside changes of the
 * configuration. `CONTACT_SEEDS=1,2,3` plays other histories than the two of the script.
 */
import {BOTH_DIRECTIONS} from '@parsleyarch/standins/proxy';
import test from 'ava';
import fc from 'fast-check';
import '../exit.js';
import {startChanges, type CheckedChanges} from './changes.js';
import {
  cutLinks,
  linksOf,
  peerLinksOf,
  startLinkedSite,
  type LinkedNode,
  type LinkedSite,
} from './links.js';

const SEEDS = (process.env.CONTACT_SEEDS ?? '1,2').split(',').map(Number);
const DOMAIN_COUNT = 3;
const NODE_COUNT = 9;
const DISRUPTION_COUNT = 10;
/** Longest pause between two disruptions and longest disruption, milliseconds. */
const MAX_PAUSE_MS = 1_500;
const MAX_DURATION_MS = 8_000;
/** Time for which changes are checked after the last disruption, milliseconds. */
const CHECKED_MS = 6_000;

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Disrupts the links of a node; returns how to end that. */
type Disruption = (
  linked: LinkedSite,
  node: LinkedNode,
  changes: CheckedChanges,
) => () => void;

/** A disruption of the path to the store, in which the node need not be current. */
function losing(disrupt: (linked: LinkedSite, node: LinkedNode) => () => void) {
  return (linked: LinkedSite, node: LinkedNode, changes: CheckedChanges) => {
    changes.lose(node);
    const end = disrupt(linked, node);
    return () => {
      end();
      changes.regain(node);
    };
  };
}

const DISRUPTIONS: Readonly<Record<string, Disruption>> = {
  cut: losing((linked, node) =>
    cutLinks(linksOf(linked, node), BOTH_DIRECTIONS),
  ),
  'no answers': losing((linked, node) =>
    cutLinks(linksOf(linked, node), ['from server']),
  ),
  'cut from the store': losing((_linked, {store}) =>
    cutLinks([store], BOTH_DIRECTIONS),
  ),
  'cut from the nodes': (linked, node) =>
    cutLinks(peerLinksOf(linked, node), BOTH_DIRECTIONS),
  'reset by the store': losing((_linked, {store}) => {
    store.partition(true);
    return () => store.partition(false);
  }),
  'silent connections': losing((linked, node) => {
    for (const link of linksOf(linked, node)) link.silenceOpen();
    return () => {};
  }),
};

const history = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.keys(DISRUPTIONS)),
    nodes: fc.uniqueArray(fc.nat(NODE_COUNT - 1), {minLength: 1}),
    pauseMs: fc.nat(MAX_PAUSE_MS),
    durationMs: fc.nat(MAX_DURATION_MS),
  }),
  {minLength: DISRUPTION_COUNT, maxLength: DISRUPTION_COUNT},
);

for (const seed of SEEDS)
  test(`changes are in force in time after random disruptions, seed ${seed}`, async t => {
    const [steps] = fc.sample(history, {seed, numRuns: 1});
    t.log(JSON.stringify(steps));
    const linked = await startLinkedSite(t, DOMAIN_COUNT, NODE_COUNT);
    const changes = startChanges(linked);
    const ended: Promise<void>[] = [];
    for (const {kind, nodes, pauseMs, durationMs} of steps) {
      await wait(pauseMs);
      const ends = nodes.map(index =>
        DISRUPTIONS[kind](linked, linked.nodes[index], changes),
      );
      const endAll = () => {
        for (const end of ends) end();
      };
      ended.push(wait(durationMs).then(endAll));
    }
    await Promise.all(ended);
    await wait(CHECKED_MS);
    const late = changes.stop();
    t.log(late);
    t.deepEqual(late, []);
  });
