/** Properties of the permits for the runs of a request. */
import {
  countRuns,
  createRunRecord,
  permitRemainingRuns,
  permitRun,
  returnPermit,
  type RunPermit,
} from '@parsleyarch/policy/runs';
import test from 'ava';
import fc from 'fast-check';

/** A send: to an upstream or another node, and whether it turns out not to have run. */
const sends = fc.array(
  fc.record({delegated: fc.boolean(), notRun: fc.boolean()}),
  {maxLength: 12},
);

// Guards against a send after another one whose outcome is not known.
test('sends whose outcome is not known never exceed the runs of a request', t => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.integer({min: 1, max: 4}),
      sends,
      (repeatable, maxRuns, history) => {
        const record = createRunRecord(repeatable, maxRuns);
        const open: RunPermit[] = [];
        for (const {delegated, notRun} of history) {
          const permit = delegated
            ? permitRemainingRuns(record)
            : permitRun(record);
          if (permit.isErr()) continue;
          if (notRun) returnPermit(record, permit.value);
          else open.push(permit.value);
        }
        const runs = open.reduce((sum, permit) => sum + permit.runs, 0);
        if (!repeatable && open.length > 1) return false;
        return runs <= maxRuns && countRuns(record) === runs;
      },
    ),
  );
  t.pass();
});

test('a permit that is returned twice gives back no more than its own runs', t => {
  const record = createRunRecord(true, 2);
  const first = permitRun(record)._unsafeUnwrap();
  permitRun(record)._unsafeUnwrap();
  returnPermit(record, first);
  returnPermit(record, first);
  t.is(countRuns(record), 1);
});
