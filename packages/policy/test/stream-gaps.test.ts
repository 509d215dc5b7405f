import {
  callerGapMs,
  isStalled,
  moveGapMs,
} from '@parsleyarch/policy/stream-gaps';
import test from 'ava';
import fc from 'fast-check';

const PACE = {objectiveMs: 1_500, pauseObjectiveMs: 600};

test('a stream that can go on elsewhere is moved soon after its pause objective', t => {
  t.false(isStalled(PACE, 600, true));
  t.false(isStalled(PACE, moveGapMs(PACE) - 1, true));
  t.true(isStalled(PACE, moveGapMs(PACE), true));
});

test('a stream that cannot go on elsewhere ends only when its caller leaves', t => {
  t.false(isStalled(PACE, 5_999, false));
  t.true(isStalled(PACE, 6_000, false));
  t.is(callerGapMs({objectiveMs: 100, pauseObjectiveMs: 100}), 2_000);
  t.is(callerGapMs({objectiveMs: 100, pauseObjectiveMs: 800}), 6_400);
});

test('a stream that cannot move is never given up before one that can', t => {
  const ms = fc.integer({min: 1, max: 20_000});
  fc.assert(
    fc.property(ms, ms, ms, (objectiveMs, pauseObjectiveMs, gapMs) => {
      const pace = {objectiveMs, pauseObjectiveMs};
      return isStalled(pace, gapMs, true) || !isStalled(pace, gapMs, false);
    }),
  );
  t.pass();
});
