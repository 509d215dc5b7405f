import test from 'ava';
import {storeBillCopy} from '../src/bills.js';
import type {RouterNode} from '../src/node.js';

/** A node with only the state that bill copies use. */
function createNode(): RouterNode {
  const bills = {copies: new Map(), writtenSequences: new Map()};
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

test('copies of one batch are merged', t => {
  const node = createNode();
  storeBillCopy(node, copy(1, ['a']));
  storeBillCopy(node, copy(1, ['b']));
  const [kept] = node.bills.copies.values();
  t.deepEqual(
    kept.bills.map(bill => bill.requestId),
    ['a', 'b'],
  );
});

test('a notice that a batch is written drops the copies of all batches up to it', t => {
  const node = createNode();
  for (const sequence of [1, 2, 3]) storeBillCopy(node, copy(sequence, ['a']));
  storeBillCopy(node, copy(2, [], true));
  t.deepEqual([...node.bills.copies.keys()], ['bill/vm-1/7/3']);
});

test('a copy that arrives after its batch was written is dropped', t => {
  const node = createNode();
  storeBillCopy(node, copy(4, [], true));
  storeBillCopy(node, copy(4, ['late']));
  t.is(node.bills.copies.size, 0);
  storeBillCopy(node, copy(5, ['next']));
  t.is(node.bills.copies.size, 1);
});
