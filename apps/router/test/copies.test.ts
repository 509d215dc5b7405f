import test from 'ava';
import {takeCopy} from '../src/bills.js';
import type {RouterNode} from '../src/node.js';

/** A node with the state that copies of bills touch. */
function holder(): RouterNode {
  const bills = {copies: new Map(), written: new Map()};
  return {bills} as unknown as RouterNode;
}

const copy = (sequence: number, ids: string[], written = false) => ({
  node: 'vm-1',
  incarnation: 7,
  sequence,
  written,
  bills: ids.map(requestId => ({
    customer: 'choir',
    requestId,
    model: 'hymn',
    version: 'hymn-1',
    tokens: 1,
    cost: 1,
  })),
});

test('copies of one batch are put together', t => {
  const node = holder();
  takeCopy(node, copy(1, ['a']));
  takeCopy(node, copy(1, ['b']));
  const [kept] = node.bills.copies.values();
  t.deepEqual(
    kept.bills.map(bill => bill.requestId),
    ['a', 'b'],
  );
});

test('word of a written batch ends those before it, if theirs was lost', t => {
  const node = holder();
  for (const sequence of [1, 2, 3]) takeCopy(node, copy(sequence, ['a']));
  takeCopy(node, copy(2, [], true));
  t.deepEqual([...node.bills.copies.keys()], ['bill/vm-1/7/3']);
});

test('a copy that comes after its batch was written is not kept', t => {
  const node = holder();
  takeCopy(node, copy(4, [], true));
  takeCopy(node, copy(4, ['late']));
  t.is(node.bills.copies.size, 0);
  takeCopy(node, copy(5, ['next']));
  t.is(node.bills.copies.size, 1);
});
