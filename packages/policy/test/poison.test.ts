import test from 'ava';
import fc from 'fast-check';
import {
  clearSuspect,
  EMPTY_POISON_STATE,
  getPoisonStatus,
  recordCrash,
} from '../src/poison.js';

const fingerprints = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'));

test('the second crash confirms the poison request and no other', t => {
  fc.assert(
    fc.property(fingerprints, fingerprints, (firstOthers, secondOthers) => {
      const first = {
        upstream: 'u1',
        incarnation: 1,
        fingerprints: ['poison', ...firstOthers],
        suspects: [],
      };
      const second = {
        upstream: 'u2',
        incarnation: 1,
        fingerprints: ['poison', ...secondOthers],
        suspects: ['poison'],
      };
      let state = recordCrash(EMPTY_POISON_STATE, first, 0);
      if (getPoisonStatus(state, 'poison', 1) !== 'suspect') return false;
      state = recordCrash(state, second, 2);
      const othersUnconfirmed = [...firstOthers, ...secondOthers].every(
        fingerprint => getPoisonStatus(state, fingerprint, 3) !== 'confirmed',
      );
      return (
        othersUnconfirmed && getPoisonStatus(state, 'poison', 3) === 'confirmed'
      );
    }),
    {seed: 20_261_203, numRuns: 300},
  );
  t.pass();
});

test('a suspect that completes is cleared', t => {
  const crash = {
    upstream: 'u1',
    incarnation: 1,
    fingerprints: ['a', 'b'],
    suspects: [],
  };
  const state = clearSuspect(recordCrash(EMPTY_POISON_STATE, crash, 0), 'a');
  t.is(getPoisonStatus(state, 'a', 1), 'clear');
  t.is(getPoisonStatus(state, 'b', 1), 'suspect');
});

test('two suspects of two nodes in one crash are not confirmed', t => {
  const makeCrash = (fingerprint: string) => ({
    upstream: 'u1',
    incarnation: 1,
    fingerprints: [fingerprint],
    suspects: [fingerprint],
  });
  let state = recordCrash(EMPTY_POISON_STATE, makeCrash('a'), 0);
  state = recordCrash(state, makeCrash('b'), 1);
  t.not(getPoisonStatus(state, 'b', 2), 'confirmed');
  t.not(getPoisonStatus(state, 'a', 2), 'confirmed');
});
