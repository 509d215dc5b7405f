import {
  isSharedKey,
  listRequestKeys,
  listSegmentKeys,
  subjectOf,
  type RequestTraits,
} from '@parsleyarch/policy/crash-keys';
import test from 'ava';

const traits = (changes: Partial<RequestTraits> = {}): RequestTraits => ({
  target: '/a/x?page=1',
  body: Buffer.from('body'),
  callerKey: 'k1',
  customer: 'one',
  segments: ['first', 'second'],
  ...changes,
});

const haveCommonKey = (one: RequestTraits, other: RequestTraits) => {
  const keys = new Set(listRequestKeys(one));
  return listRequestKeys(other).some(key => keys.has(key));
};

test('a request is recognized when its customer is renamed or its key replaced', t => {
  t.true(haveCommonKey(traits(), traits({customer: 'renamed'})));
  t.true(haveCommonKey(traits(), traits({callerKey: 'k2'})));
  t.true(haveCommonKey(traits(), traits({callerKey: undefined})));
});

test('requests of other callers, paths or bodies have no key in common', t => {
  t.false(haveCommonKey(traits(), traits({callerKey: 'k2', customer: 'two'})));
  t.false(haveCommonKey(traits(), traits({target: '/a/x?page=2'})));
  t.false(haveCommonKey(traits(), traits({body: Buffer.from('other')})));
  const anonymous = {callerKey: undefined, customer: undefined};
  t.false(haveCommonKey(traits(), traits(anonymous)));
  t.true(haveCommonKey(traits(anonymous), traits(anonymous)));
});

test('keys of one request name the same subject, and hold no bearer key', t => {
  const keys = listRequestKeys(traits({callerKey: 'secret'}));
  t.is(new Set(keys.map(subjectOf)).size, 1);
  t.false(keys.some(key => key.includes('secret') || isSharedKey(key)));
});

test('segments are shared, the deepest one first', t => {
  const keys = listSegmentKeys(traits());
  t.deepEqual(keys, ['segment second', 'segment first']);
  t.true(keys.every(isSharedKey));
  t.deepEqual(keys.map(subjectOf), keys);
});
