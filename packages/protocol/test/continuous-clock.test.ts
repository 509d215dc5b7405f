import {
  createContinuousClock,
  readBothClocks,
  readContinuousClock,
} from '@parsleyarch/protocol/continuous-clock';
import test from 'ava';
import fc from 'fast-check';

const WALL_MS = 1_700_000_000_000;

test('a suspension counts as elapsed time', t => {
  const clock = createContinuousClock(100, WALL_MS);
  t.is(readContinuousClock(clock, 200, WALL_MS + 4_100), 4_200);
});

test('a backward step of the wall clock does not cancel an earlier suspension', t => {
  const clock = createContinuousClock(0, WALL_MS);
  readContinuousClock(clock, 100, WALL_MS + 3_100);
  t.is(readContinuousClock(clock, 200, WALL_MS + 200), 3_200);
});

test('jitter of the wall clock does not accumulate', t => {
  const clock = createContinuousClock(0, WALL_MS);
  for (let at = 1; at <= 1_000; at += 1)
    readContinuousClock(clock, at, WALL_MS + at + (at % 2 ? 10 : 0));
  t.is(readContinuousClock(clock, 1_001, WALL_MS + 1_001), 1_001);
});

test('the clock never runs slower than the monotonic clock', t => {
  const step = fc.record({
    monotonic: fc.nat(5_000),
    wall: fc.integer({min: -10_000, max: 10_000}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 50}), steps => {
      const clock = createContinuousClock(0, WALL_MS);
      let [monotonic, wall, last] = [0, WALL_MS, 0];
      for (const advance of steps) {
        monotonic += advance.monotonic;
        wall += advance.wall;
        const now = readContinuousClock(clock, monotonic, wall);
        if (now - last < advance.monotonic) return false;
        last = now;
      }
      return true;
    }),
  );
  t.pass();
});

test('preemption between the readings of the two clocks adds no time', t => {
  let now = 0;
  let reads = 0;
  const wall = () => {
    reads += 1;
    // Every other reading of the wall clock comes 40 ms late.
    if (reads % 2 === 1) now += 40;
    return now;
  };
  const monotonic = () => now;
  const clock = createContinuousClock(0, 0);
  for (let read = 0; read < 100; read += 1) {
    now += 10;
    const {monotonicMs, wallMs} = readBothClocks(monotonic, wall);
    readContinuousClock(clock, monotonicMs, wallMs);
  }
  t.is(clock.missedMs, 0);
});

test('a suspension is counted, also if the process is always preempted', t => {
  let monotonicNow = 0;
  let suspendedMs = 0;
  const wall = () => {
    monotonicNow += 40;
    return monotonicNow + suspendedMs;
  };
  const clock = createContinuousClock(0, 0);
  const read = () => {
    const {monotonicMs, wallMs} = readBothClocks(() => monotonicNow, wall);
    return readContinuousClock(clock, monotonicMs, wallMs);
  };
  read();
  suspendedMs = 3_000;
  t.true(read() >= 3_000);
});
