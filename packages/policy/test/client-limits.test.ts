import {
  chooseConnectionToClose,
  ConnectionPhase,
  deriveClientLimits,
} from '@parsleyarch/policy/client-limits';
import {isCutOffForReading, isHeldBack} from '@parsleyarch/policy/slow-readers';
import test from 'ava';

const MB = 1 << 20;
const LARGEST_BODY = 4 * MB;

test('limits stay within the machine and hold several of the largest bodies', t => {
  for (const memoryMb of [100, 202, 602, 4_000]) {
    for (const maxDescriptors of [500, 2_069, 8_192]) {
      const machine = {memoryMb, maxDescriptors};
      const limits = deriveClientLimits(machine, {});
      t.true(limits.heldBytes <= (memoryMb / 2) * MB);
      t.true(limits.heldBytes >= 4 * LARGEST_BODY);
      t.true(limits.connections + limits.requests < maxDescriptors);
    }
  }
  t.is(deriveClientLimits({}, {connections: 7}).connections, 7);
});

test('connections that are served stay; of the others the oldest of the least worth is closed', t => {
  const {served, body, idle, header, refused} = ConnectionPhase;
  const connections = [
    {phase: served, since: 0},
    {phase: body, since: 1},
    {phase: idle, since: 4},
    {phase: idle, since: 3},
    {phase: header, since: 6},
    {phase: refused, since: 9},
  ];
  const closed = [];
  for (;;) {
    const chosen = chooseConnectionToClose(connections);
    if (!chosen) break;
    closed.push(chosen.since);
    connections.splice(connections.indexOf(chosen), 1);
  }
  t.deepEqual(closed, [9, 6, 3, 4, 1]);
});

test('an upstream waits only for a full buffer, and for a bounded time', t => {
  const limits = {bufferBytes: 256, heldBackMs: 2_000};
  t.false(isHeldBack(limits, 256, 0));
  t.true(isHeldBack(limits, 257, 0));
  t.true(isHeldBack(limits, 65, 0.5));
  t.false(isCutOffForReading(limits, 1_999));
  t.true(isCutOffForReading(limits, 2_000));
});
