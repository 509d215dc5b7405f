import {
  chooseRoundSources,
  maxStorePauseMs,
  roundIntervalMs,
  watchPauseMs,
} from '@parsleyarch/policy/following';
import test from 'ava';
import fc from 'fast-check';

/** Bounds of the sites: time to apply a change, and time with a path before that. */
const BOUNDS = [
  {applyMs: 2_000, contactMs: 3_000},
  {applyMs: 3_000, contactMs: 4_000},
  {applyMs: 4_000, contactMs: 5_000},
];
/** Time limit of a call to the store, milliseconds. */
const CALL_MS = 1_000;

test('a node that hears of no other one calls the store again well within its time', t => {
  const counts = fc.integer({min: 1, max: 400});
  fc.assert(
    fc.property(counts, fc.boolean(), (nodeCount, isWatcher) => {
      for (const {applyMs, contactMs} of BOUNDS) {
        const sincePeerMs = Infinity;
        const state = {isWatcher, sincePeerMs, nodeCount, applyMs};
        // A call that began before the return hangs, and the one after the pause succeeds.
        const longestMs = CALL_MS + maxStorePauseMs(state);
        t.true(longestMs <= (2 / 3) * contactMs);
      }
    }),
  );
});

test('followers that hear of each other call a store in an outage 50 times a second at most', t => {
  for (const nodeCount of [8, 9, 30, 60, 120, 195]) {
    const state = {isWatcher: false, sincePeerMs: 0, nodeCount, applyMs: 2_000};
    const callsPerSecond = (nodeCount * 1_000) / maxStorePauseMs(state);
    t.true(callsPerSecond <= 50);
  }
});

test('changes that follow others share calls, well within the time to apply them', t => {
  for (const {applyMs} of BOUNDS) {
    t.true(watchPauseMs(applyMs, true) > watchPauseMs(applyMs, false));
    t.true(watchPauseMs(applyMs, true) <= applyMs / 10);
  }
});

test('a round asks the preferred source, each other source by turns and any other node', t => {
  const sources = ['a', 'b', 'c'];
  const others = ['a', 'b', 'c', 'd', 'e'];
  const rounds = [0, 1, 2].map(round =>
    chooseRoundSources(sources, others, round, 0.9),
  );
  t.deepEqual(rounds, [
    ['a', 'b', 'e'],
    ['a', 'c', 'e'],
    ['a', 'b', 'e'],
  ]);
  t.deepEqual(chooseRoundSources([], [], 0, 0.5), []);
  t.deepEqual(chooseRoundSources(['a'], ['a'], 3, 0.5), ['a']);
});

test('rounds become rarer with the number of nodes, up to one a second', t => {
  t.is(roundIntervalMs(9), 250);
  t.true(roundIntervalMs(120) > roundIntervalMs(60));
  t.is(roundIntervalMs(400), 1_000);
});
