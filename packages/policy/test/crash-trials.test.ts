import {TrialValue} from '@parsleyarch/policy/crash-evidence';
import {Doubt, nextTrialAt} from '@parsleyarch/policy/crash-trials';
import test from 'ava';
import fc from 'fast-check';

const DAY_MS = 24 * 60 * 60_000;
/** Trials that may follow the end that makes a request a culprit. */
const MAX_TRIAL_COUNT = 3;
const doubts = fc.constantFrom(...Object.values(Doubt));

test('a culprit is refused for longer after each further trial', t => {
  for (const doubt of Object.values(Doubt)) {
    const delays = [0, 1, 2, 3].map(trialCount =>
      nextTrialAt({trialCount, changedAt: 0, doubt}),
    );
    for (const [index, delay] of delays.slice(1).entries())
      t.true(delay >= 2 * delays[index]);
  }
});

test('a culprit that was answered before is tried again within a second', t => {
  const doubt = Doubt.answeredBefore;
  t.true(nextTrialAt({trialCount: 0, changedAt: 500, doubt}) <= 1_500);
});

// Guards against trials that end upstreams and tell nothing of a shared segment.
test('a request that has all in common with the former ends is tried later than others', t => {
  for (const doubt of Object.values(Doubt)) {
    const history = {trialCount: 0, changedAt: 0, doubt};
    const worthless = nextTrialAt({...history, value: TrialValue.none});
    t.true(worthless > nextTrialAt(history));
  }
});

// Guards against a fourth send after many ends at nearly the same time.
test('after a conclusive trial, ends of a segment beyond the fifth count like trials', t => {
  const doubt = Doubt.answeredBefore;
  const at = (trialCount: number, crashCount: number, value?: TrialValue) =>
    nextTrialAt({trialCount, crashCount, changedAt: 0, doubt, value});
  t.is(at(0, 50), at(0, 0));
  t.is(at(1, 6), at(1, 0));
  t.true(at(1, 8) >= 10 * 60_000);
  t.is(at(1, 8, TrialValue.telling), at(1, 0));
  t.true(at(3, 50) >= DAY_MS);
});

test('at most three trials follow within a day, whenever requests arrive and whoever is in doubt', t => {
  const arrival = fc.record({
    afterMs: fc.integer({min: 0, max: 3_600_000}),
    doubt: doubts,
  });
  fc.assert(
    fc.property(fc.array(arrival, {maxLength: 200}), arrivals => {
      let now = 0;
      let changedAt = 0;
      let trialCount = 0;
      for (const {afterMs, doubt} of arrivals) {
        now += afterMs;
        if (now >= DAY_MS) break;
        if (now < nextTrialAt({trialCount, changedAt, doubt})) continue;
        trialCount += 1;
        changedAt = now;
      }
      return trialCount <= MAX_TRIAL_COUNT;
    }),
  );
  t.pass();
});
