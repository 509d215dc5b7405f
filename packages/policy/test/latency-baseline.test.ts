import {nextBaselineMs} from '@parsleyarch/policy/latency-baseline';
import test from 'ava';

const follow = (times: readonly number[]) => {
  let baselineMs: number | undefined;
  for (const timeMs of times) baselineMs = nextBaselineMs(baselineMs, timeMs);
  return baselineMs!;
};

test('the first time is the baseline, and later ones move it', t => {
  t.is(follow([40]), 40);
  t.true(Math.abs(follow([40, ...Array(200).fill(80)]) - 80) < 0.1);
});

test('one very slow answer in twenty leaves the baseline near the usual time', t => {
  const times = Array.from({length: 400}, (_, i) => (i % 20 ? 30 : 3_000));
  t.true(follow(times) < 60);
});

test('a time of 0 ms leaves a baseline above 0', t => {
  t.true(follow([0, 0, 0]) > 0);
});
