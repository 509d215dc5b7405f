import {
  isRefusing,
  maySendWhileStopping,
  type Stop,
} from '@parsleyarch/policy/stopping';
import test from 'ava';
import fc from 'fast-check';

const stop: Stop = {refusesFrom: 2_200, endsAt: 7_700};

test('a node that is not being stopped sends everything', t => {
  const request = {deadlineAt: Infinity, hasBegun: false};
  t.true(maySendWhileStopping(undefined, 0, request));
  t.false(isRefusing(undefined, 0));
});

// Guards against requests that are cut off at the end of the grace period.
test('what is sent late in the grace period ends before it, or has begun', t => {
  const time = fc.integer({min: 0, max: 30_000});
  fc.assert(
    fc.property(time, time, fc.boolean(), (now, deadlineAt, hasBegun) => {
      const may = maySendWhileStopping(stop, now, {deadlineAt, hasBegun});
      if (now < stop.refusesFrom || hasBegun) return may;
      return may === deadlineAt <= stop.endsAt;
    }),
  );
  t.pass();
});
