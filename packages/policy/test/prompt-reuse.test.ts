/** Tests of how likely the shared part of a prompt was sent before. */
import {
  addReuse,
  decayReuse,
  expectReuse,
  recordReuse,
  type PromptReuse,
  type TimedReuse,
} from '@parsleyarch/policy/prompt-reuse';
import test from 'ava';
import {seededRandom} from './random.js';

/** Counts of nodes that get requests with prompts at random, and the true ratio. */
function countReuse(nodeCount: number, promptCount: number, requests: number) {
  const random = seededRandom(1);
  const counts = new Map<number, TimedReuse>();
  const seen = new Set<string>();
  const seenByAny = new Set<number>();
  let known = 0;
  for (let sent = 0; sent < requests; sent += 1) {
    const node = Math.floor(random() * nodeCount);
    const prompt = Math.floor(random() * promptCount);
    if (seenByAny.has(prompt)) known += 1;
    seenByAny.add(prompt);
    const key = `${node}/${prompt}`;
    counts.set(node, recordReuse(counts.get(node), seen.has(key), 0));
    seen.add(key);
  }
  let sum: PromptReuse = {sent: 0, repeated: 0};
  for (const count of counts.values()) sum = addReuse(sum, count);
  return {expected: expectReuse(sum, nodeCount), actual: known / requests};
}

for (const [promptCount, name] of [
  [100, 'few prompts'],
  [2_000, 'many prompts'],
  [200_000, 'prompts that hardly recur'],
] as const)
  test(`the counts of 60 nodes show how likely a prompt recurs: ${name}`, t => {
    const {expected, actual} = countReuse(60, promptCount, 4_000);
    t.log({expected, actual});
    t.true(Math.abs(expected - actual) < 0.2);
  });

test('prompts are expected to recur as long as little is known', t => {
  t.is(expectReuse({sent: 20, repeated: 0}, 60), 1);
  const old = decayReuse({sent: 1_000, repeated: 0, at: 0}, 60_000);
  t.is(expectReuse(old, 60), 1);
});
