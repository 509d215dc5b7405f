/** Tests of the estimate of how long work takes at an upstream. */
import {
  estimatePace,
  recordPace,
  type PaceHistory,
} from '@parsleyarch/policy/pace';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

function read(factors: readonly number[], gapMs: number): PaceHistory {
  let history: PaceHistory | undefined;
  for (const [index, factor] of factors.entries())
    history = recordPace(history, factor, index * gapMs);
  return history!;
}

test('a single high reading counts for a moment, many of them for longer', t => {
  const single = read([1, 1, 1, 1, 1, 1, 1, 1, 1, 3], 100);
  t.true(estimatePace(single, undefined, 900) > 2.5);
  t.true(estimatePace(single, undefined, 1_900) < 1.5);
  const many = read(
    Array.from({length: 20}, () => 3),
    100,
  );
  t.true(estimatePace(many, undefined, 2_900) > 2);
  t.true(estimatePace(many, undefined, 20_000) < 1.01);
});

test('readings of other nodes count like own ones, except for the moment', t => {
  const others = read([3, 3, 3, 3, 3, 3, 3, 3], 50);
  const estimate = estimatePace(undefined, others, 350);
  t.true(estimate > 2.3 && estimate < 3);
  t.is(estimatePace(undefined, undefined, 0), 1);
});

test('the estimate lies between the readings and the usual time', t => {
  const random = seededRandom(1);
  fc.assert(
    fc.property(
      fc.array(fc.double({min: 0.1, max: 20, noNaN: true}), {minLength: 1}),
      factors => {
        const history = read(factors, 400 * random());
        const estimate = estimatePace(history, undefined, history.at + 50);
        const least = Math.min(1, ...factors);
        const most = Math.max(1, ...factors);
        return estimate >= least - 1e-9 && estimate <= most + 1e-9;
      },
    ),
    {seed: 1},
  );
  t.pass();
});
