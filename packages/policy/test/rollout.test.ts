import test from 'ava';
import {
  EMPTY_TALLY,
  findRegression,
  logEvidenceAgainst,
  nextRolloutAction,
  type VersionTally,
} from '../src/rollout.js';
import {seededRandom} from './random.js';

const OLD_RATE = 0.05;

function tally(seen: number, bad: number): VersionTally {
  return {...EMPTY_TALLY, error: {seen, bad}};
}

/** Requests on the new version until a regression is found; else `Infinity`. */
function requestsUntilStop(
  seed: number,
  rate: number,
  maxRequests: number,
): number {
  const random = seededRandom(seed);
  const old = tally(2_000, Math.round(2_000 * OLD_RATE));
  let bad = 0;
  for (let seen = 1; seen <= maxRequests; seen += 1) {
    if (random() < rate) bad += 1;
    if (findRegression(tally(seen, bad), old)) return seen;
  }
  return Infinity;
}

test('an equal version is stopped in fewer than 1 of 100 roll-outs', t => {
  let stops = 0;
  for (let seed = 1; seed <= 400; seed += 1)
    if (requestsUntilStop(seed, OLD_RATE, 1_000) < Infinity) stops += 1;
  t.true(stops / 400 < 0.01, `${stops} of 400`);
});

test('a version bad by 50 points is stopped within a few requests', t => {
  for (let seed = 1; seed <= 100; seed += 1)
    t.true(requestsUntilStop(seed, OLD_RATE + 0.5, 200) <= 60);
});

test('an observer among many needs more evidence to stop a version', t => {
  const old = tally(8, 0);
  const fresh = tally(8, 8);
  t.is(findRegression(fresh, old, 1), 'error');
  t.is(findRegression(fresh, old, 195), undefined);
});

test('requests that all succeed are evidence for a version', t => {
  const old = tally(300, 15);
  const logs = [5, 20, 60, 200].map(seen =>
    logEvidenceAgainst({seen, bad: 0}, old.error),
  );
  t.deepEqual(
    logs,
    [...logs].sort((a, b) => b - a),
  );
  t.true(logs[0] < 0);
});

const ROLLOUT = {
  model: 'hymn',
  from: 'hymn-1',
  to: 'hymn-2',
  steps: [10, 100],
  step: 0,
  state: 'running',
} as const;

test('a step advances only after enough requests and time', t => {
  const spec = {...ROLLOUT, steps: [...ROLLOUT.steps]};
  const good = tally(500, 20);
  t.is(nextRolloutAction(spec, good, good, 5, 60_000, 1_000).action, 'stay');
  t.is(nextRolloutAction(spec, good, good, 500, 10, 1_000).action, 'stay');
  t.is(
    nextRolloutAction(spec, good, good, 500, 60_000, 1_000).action,
    'advance',
  );
});

test('a regression rolls back, and a paused roll-out stays', t => {
  const spec = {...ROLLOUT, steps: [...ROLLOUT.steps]};
  const move = nextRolloutAction(
    spec,
    tally(50, 40),
    tally(500, 20),
    50,
    0,
    1_000,
  );
  t.is(move.action, 'roll-back');
  const paused = {...spec, state: 'paused' as const};
  t.is(
    nextRolloutAction(paused, tally(50, 40), tally(500, 20), 50, 0, 0).action,
    'stay',
  );
});

test('adverse evidence below the regression threshold keeps a roll-out at its step', t => {
  const spec = {...ROLLOUT, steps: [...ROLLOUT.steps]};
  const old = tally(2_000, 100);
  const worse = tally(200, 22);
  t.is(findRegression(worse, old), undefined);
  t.is(nextRolloutAction(spec, worse, old, 200, 60_000, 1_000).action, 'stay');
});
