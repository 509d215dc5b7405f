import {
  EMPTY_CONFIGURATION,
  findResource,
} from '@parsleyarch/resource/configuration';
import {
  afterCreate,
  afterRead,
  applyEntry,
  checkProposal,
  type Change,
  type Entry,
} from '../src/log.js';
import test from 'ava';

const domain = (state: 'in' | 'out'): Change => ({
  kind: 'FailureDomain',
  name: 'gulberg',
  spec: {region: 'lahore', state},
});

const entry = (number: number, ...changes: Change[]): Entry => ({
  number,
  changeId: `change-${number}`,
  author: 'operator',
  at: 0,
  changes,
});

test('entries apply in order, and an old one never takes the state back', t => {
  const first = applyEntry(EMPTY_CONFIGURATION, entry(1, domain('in')));
  const second = applyEntry(first, entry(2, domain('out')));
  t.is(applyEntry(second, entry(1, domain('in'))), second);
  t.is(findResource(second, 'FailureDomain', 'gulberg')?.spec.state, 'out');
});

test('a gap in the log is left alone', t => {
  t.is(
    applyEntry(EMPTY_CONFIGURATION, entry(2, domain('in'))),
    EMPTY_CONFIGURATION,
  );
});

test('a failed precondition is a conflict that names who changed what', t => {
  const state = applyEntry(EMPTY_CONFIGURATION, entry(1, domain('in')));
  const late = {...domain('out'), expect: 0};
  const proposal = {changeId: 'x', author: 'other', changes: [late]};
  const result = checkProposal(state, proposal);
  t.is(result._unsafeUnwrapErr().kind, 'conflict');
  t.regex(result._unsafeUnwrapErr().message, /last changed by operator/);
});

test('a change that would leave a dangling reference is refused', t => {
  const model: Change = {
    kind: 'Model',
    name: 'hymn',
    spec: {description: '', defaultVersion: 'hymn-1'},
  };
  const proposal = {changeId: 'x', author: 'operator', changes: [model]};
  const result = checkProposal(EMPTY_CONFIGURATION, proposal);
  t.is(result._unsafeUnwrapErr().kind, 'invalid-request');
});

test('a lost create is read back, and an empty slot is tried again', t => {
  t.is(afterCreate('lost'), 'read');
  t.is(afterRead(undefined, 'mine'), 'retry');
  t.is(afterRead({...entry(1), changeId: 'mine'}, 'mine'), 'accepted');
  t.is(afterRead({...entry(1), changeId: 'theirs'}, 'mine'), 'advance');
});
