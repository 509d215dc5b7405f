import {
  oneRoundMs,
  outOfTouchMs,
  reportIntervalMs,
  stepIntervalMs,
  twoRoundsMs,
} from '@parsleyarch/policy/report-times';
import test from 'ava';

const SIZES = [1, 9, 24, 67, 195, 360, 1_000];

test('whatever waits for reports waits longer than they take, at every size', t => {
  for (const size of SIZES) {
    const intervalMs = reportIntervalMs(size);
    t.true(oneRoundMs(size) > intervalMs);
    t.true(twoRoundsMs(size) > 2 * intervalMs);
    t.true(outOfTouchMs(size) > 2 * intervalMs);
  }
});

test('a holder renews its lease of three seconds in time at every size', t => {
  for (const size of SIZES) t.true(stepIntervalMs(size, true) < 900);
});
