import {judgePace, Pace} from '@parsleyarch/policy/stream-pace';
import test from 'ava';
import fc from 'fast-check';

const BASELINE_MS = 40;

test('a stream with gaps of four times the baseline is slow before its end', t => {
  t.is(judgePace({count: 3, totalMs: 480}, BASELINE_MS, false), Pace.unknown);
  t.is(judgePace({count: 4, totalMs: 640}, BASELINE_MS, false), Pace.slow);
  t.is(judgePace({count: 1, totalMs: 640}, BASELINE_MS, false), Pace.slow);
});

test('a short stream is judged at its end', t => {
  t.is(judgePace({count: 1, totalMs: 160}, BASELINE_MS, false), Pace.unknown);
  t.is(judgePace({count: 1, totalMs: 160}, BASELINE_MS, true), Pace.slow);
  t.is(judgePace({count: 1, totalMs: 120}, BASELINE_MS, true), Pace.timely);
  t.is(judgePace({count: 0, totalMs: 0}, BASELINE_MS, true), Pace.timely);
});

test('small gaps are timely even if the baseline is smaller still', t => {
  t.is(judgePace({count: 4, totalMs: 200}, 2, false), Pace.timely);
});

test('a slow stream stays slow as its gaps grow, and one that is over is judged', t => {
  const ms = fc.integer({min: 0, max: 5_000});
  const count = fc.nat({max: 10});
  fc.assert(
    fc.property(count, ms, ms, ms, (count, totalMs, addedMs, baselineMs) => {
      const later = {count, totalMs: totalMs + addedMs};
      const judged = judgePace({count, totalMs}, baselineMs, false);
      if (judged === Pace.slow)
        t.is(judgePace(later, baselineMs, false), Pace.slow);
      t.not(judgePace({count, totalMs}, baselineMs, true), Pace.unknown);
    }),
  );
});
