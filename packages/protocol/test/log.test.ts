import {
  EMPTY_CONFIGURATION,
  findResource,
} from '@parsleyarch/resource/configuration';
import {
  decideAfterCreate,
  decideAfterRead,
  applyEntry,
  checkProposal,
  type Change,
  type LogEntry,
} from '../src/log.js';
import test from 'ava';

const domainChange = (state: 'in' | 'out'): Change => ({
  kind: 'FailureDomain',
  name: 'gulberg',
  spec: {region: 'lahore', state},
});

const logEntry = (number: number, ...changes: Change[]): LogEntry => ({
  number,
  changeId: `change-${number}`,
  author: 'operator',
  at: 0,
  changes,
});

test('entries apply in order, and an old one does not revert the state', t => {
  const first = applyEntry(
    EMPTY_CONFIGURATION,
    logEntry(1, domainChange('in')),
  );
  const second = applyEntry(first, logEntry(2, domainChange('out')));
  t.is(applyEntry(second, logEntry(1, domainChange('in'))), second);
  t.is(findResource(second, 'FailureDomain', 'gulberg')?.spec.state, 'out');
});

test('an entry after a gap is not applied', t => {
  t.is(
    applyEntry(EMPTY_CONFIGURATION, logEntry(2, domainChange('in'))),
    EMPTY_CONFIGURATION,
  );
});

test('a failed precondition is a conflict that names the last author', t => {
  const state = applyEntry(
    EMPTY_CONFIGURATION,
    logEntry(1, domainChange('in')),
  );
  const change = {...domainChange('out'), expect: 0};
  const proposal = {changeId: 'x', author: 'other', changes: [change]};
  const result = checkProposal(state, proposal);
  t.is(result._unsafeUnwrapErr().kind, 'conflict');
  t.regex(result._unsafeUnwrapErr().message, /last changed by operator/);
});

test('a change that leaves a dangling reference is rejected', t => {
  const model: Change = {
    kind: 'Model',
    name: 'hymn',
    spec: {description: '', defaultVersion: 'hymn-1'},
  };
  const proposal = {changeId: 'x', author: 'operator', changes: [model]};
  const result = checkProposal(EMPTY_CONFIGURATION, proposal);
  t.is(result._unsafeUnwrapErr().kind, 'invalid-request');
});

test('a create without a response is read back, and an empty slot is retried', t => {
  t.is(decideAfterCreate('lost'), 'read');
  t.is(decideAfterRead(undefined, 'mine'), 'retry');
  t.is(decideAfterRead({...logEntry(1), changeId: 'mine'}, 'mine'), 'accepted');
  t.is(
    decideAfterRead({...logEntry(1), changeId: 'theirs'}, 'mine'),
    'advance',
  );
});
