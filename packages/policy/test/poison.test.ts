import test from 'ava';
import fc from 'fast-check';
import {EMPTY_BOOK, judge, recordCrash, recordSurvival} from '../src/poison.js';

const fingerprints = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'));

test('the culprit is convicted by the second crash, and nobody else', t => {
  fc.assert(
    fc.property(fingerprints, fingerprints, (beside, later) => {
      const first = {
        upstream: 'u1',
        incarnation: 1,
        fingerprints: ['poison', ...beside],
        suspects: [],
      };
      const second = {
        upstream: 'u2',
        incarnation: 1,
        fingerprints: ['poison', ...later],
        suspects: ['poison'],
      };
      let book = recordCrash(EMPTY_BOOK, first, 0);
      if (judge(book, 'poison', 1) !== 'suspect') return false;
      book = recordCrash(book, second, 2);
      const innocent = [...beside, ...later].every(
        fingerprint => judge(book, fingerprint, 3) !== 'refuse',
      );
      return innocent && judge(book, 'poison', 3) === 'refuse';
    }),
    {seed: 20_261_203, numRuns: 300},
  );
  t.pass();
});

test('a suspect that runs to its end is cleared', t => {
  const crash = {
    upstream: 'u1',
    incarnation: 1,
    fingerprints: ['a', 'b'],
    suspects: [],
  };
  const book = recordSurvival(recordCrash(EMPTY_BOOK, crash, 0), 'a');
  t.is(judge(book, 'a', 1), 'innocent');
  t.is(judge(book, 'b', 1), 'suspect');
});

test('two suspects of two nodes in one crash are not convicted', t => {
  const crash = (fingerprint: string) => ({
    upstream: 'u1',
    incarnation: 1,
    fingerprints: [fingerprint],
    suspects: [fingerprint],
  });
  let book = recordCrash(EMPTY_BOOK, crash('a'), 0);
  book = recordCrash(book, crash('b'), 1);
  t.not(judge(book, 'b', 2), 'refuse');
  t.not(judge(book, 'a', 2), 'refuse');
});
