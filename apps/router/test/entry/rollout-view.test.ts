import {logEvidenceAgainst, type Tally} from '@parsleyarch/policy/rollout';
import {subtractTally} from '@parsleyarch/router/entry/rollout-view';
import test from 'ava';
import fc from 'fast-check';

const tally: fc.Arbitrary<Tally> = fc
  .record({
    seen: fc.nat(400),
    badRatio: fc.double({min: 0, max: 1, noNaN: true}),
  })
  .map(({seen, badRatio}) => ({seen, bad: Math.floor(seen * badRatio)}));

test('a window of counts never has more bad outcomes than requests, whichever nodes leave', t => {
  fc.assert(
    fc.property(tally, tally, tally, (earlier, later, old) => {
      const of = (signal: Tally) => ({
        error: signal,
        latency: signal,
        rating: signal,
      });
      const {error} = subtractTally(of(later), of(earlier));
      return (
        error.bad <= error.seen &&
        Number.isFinite(logEvidenceAgainst(error, old))
      );
    }),
  );
  t.pass();
});
