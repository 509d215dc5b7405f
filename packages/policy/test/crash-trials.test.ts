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
