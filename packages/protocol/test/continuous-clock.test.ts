import {
  createContinuousClock,
  readContinuous,
} from '@parsleyarch/protocol/continuous-clock';
import test from 'ava';
import fc from 'fast-check';

const WALL = 1_700_000_000_000;

test('a suspension counts as time that has passed', t => {
  const clock = createContinuousClock(100, WALL);
  t.is(readContinuous(clock, 200, WALL + 4_100), 4_200);
});

test('a step back of the time of day hides no earlier suspension', t => {
  const clock = createContinuousClock(0, WALL);
  readContinuous(clock, 100, WALL + 3_100);
  t.is(readContinuous(clock, 200, WALL + 200), 3_200);
});

test('jitter of the time of day does not add up', t => {
  const clock = createContinuousClock(0, WALL);
  for (let at = 1; at <= 1_000; at += 1)
    readContinuous(clock, at, WALL + at + (at % 2 ? 10 : 0));
  t.is(readContinuous(clock, 1_001, WALL + 1_001), 1_001);
});

test('the clock never runs slower than the monotonic one, whatever is set', t => {
  const step = fc.record({
    monotonic: fc.nat(5_000),
    wall: fc.integer({min: -10_000, max: 10_000}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 50}), steps => {
      const clock = createContinuousClock(0, WALL);
      let [monotonic, wall, last] = [0, WALL, 0];
      for (const advance of steps) {
        monotonic += advance.monotonic;
        wall += advance.wall;
        const now = readContinuous(clock, monotonic, wall);
        if (now - last < advance.monotonic) return false;
        last = now;
      }
      return true;
    }),
  );
  t.pass();
});
