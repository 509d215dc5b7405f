import {areUnreachable, chooseDelegate} from '@parsleyarch/policy/reachability';
import test from 'ava';

const NEVER = -Infinity;
const times = (connectedAt: number, failedAt: number) => ({
  connectedAt,
  failedAt,
});

test('upstreams are unreachable once three fail and none has connected since', t => {
  const failed = [times(1, 5), times(2, 6), times(NEVER, 7)];
  t.true(areUnreachable(failed));
  t.true(areUnreachable([...failed, times(4, NEVER)]));
  t.false(areUnreachable([...failed, times(6, NEVER)]));
  t.false(areUnreachable([times(1, 5), times(2, 6), times(3, NEVER)]));
  t.false(areUnreachable([times(8, 5), times(2, 6), times(3, 7)]));
  t.false(areUnreachable([]));
});

test('one or two upstreams are unreachable when all fail, until one connects', t => {
  t.true(areUnreachable([times(1, 2)]));
  t.true(areUnreachable([times(NEVER, 5), times(NEVER, 6)]));
  t.false(areUnreachable([times(3, 2)]));
});

test('some upstreams that fail beside others that connect are no cut', t => {
  const lost = [times(1, 100), times(1, 101)];
  const sound = Array.from({length: 7}, (_, index) => times(102 + index, 1));
  t.false(areUnreachable([...lost, ...sound]));
});

test('a delegate is drawn from the own failure domain, and else from any', t => {
  const candidates = [
    {name: 'a', failureDomain: 'dha'},
    {name: 'b', failureDomain: 'johar'},
    {name: 'c', failureDomain: 'johar'},
  ];
  const drawnIn = (domain: string) =>
    new Set(
      [0, 0.4, 0.6, 0.99].map(
        draw => chooseDelegate(candidates, domain, () => draw)?.name,
      ),
    );
  t.deepEqual(drawnIn('dha'), new Set(['a']));
  t.deepEqual(drawnIn('johar'), new Set(['b', 'c']));
  t.deepEqual(drawnIn('gulberg'), new Set(['a', 'b', 'c']));
  t.is(
    chooseDelegate([], 'dha', () => 0),
    undefined,
  );
});
