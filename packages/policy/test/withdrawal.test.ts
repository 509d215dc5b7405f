import {hashName} from '@parsleyarch/policy/rendezvous';
import {
  createWithdrawal,
  isWithdrawn,
  updateWithdrawal,
  type Withdrawal,
} from '@parsleyarch/policy/withdrawal';
import test from 'ava';
import {seededRandom} from './random.js';

const STEP_MS = 250;
const DAY_MS = 100_000;
/** Age of what nodes know of each other: three exchanges of load. */
const NEWS_AGE_MS = 1_200;
/** Part of the time for which a node that takes requests must be ready. */
const MAX_UNREADY_RATIO = 1 / 8;
const MAX_WITHDRAWN_RATIO = 1 / 10;

interface SimulatedNode {
  readonly digest: number;
  readonly withdrawal: Withdrawal;
  pressedUntil: number;
  unreadyMs: number;
  /** States at the latest steps, oldest first. */
  readonly news: {pressed: boolean; announced: boolean; withdrawn: boolean}[];
}

function createNodes(count: number): SimulatedNode[] {
  return Array.from({length: count}, (_, index) => ({
    digest: hashName(`node-${index}`),
    withdrawal: createWithdrawal(),
    pressedUntil: 0,
    unreadyMs: 0,
    news: [],
  }));
}

function step(nodes: SimulatedNode[], now: number): void {
  const known = nodes.filter(({news}) => news.length > 0);
  const pressedNodes = known.filter(({news}) => news[0].pressed);
  const announcedNodes = known.filter(({news}) => news[0].announced);
  const withdrawnNodes = known.filter(({news}) => news[0].withdrawn);
  for (const node of nodes) {
    const pressed = node.pressedUntil > now;
    const isOther = (other: SimulatedNode) => other !== node;
    updateWithdrawal(node.withdrawal, now, pressed, node, {
      nodeCount: nodes.length,
      pressedCount: pressedNodes.filter(isOther).length + Number(pressed),
      announced: announcedNodes.filter(isOther),
      withdrawnCount: withdrawnNodes.filter(isOther).length,
    });
    if (isWithdrawn(node.withdrawal, now)) node.unreadyMs += STEP_MS;
  }
  for (const {news, withdrawal, pressedUntil} of nodes) {
    const withdrawn = isWithdrawn(withdrawal, now);
    const announced = withdrawal.announcedAt !== undefined;
    news.push({pressed: pressedUntil > now, announced, withdrawn});
    if (news.length > NEWS_AGE_MS / STEP_MS) news.shift();
  }
}

/** Plays drawn pressure; returns the largest number of nodes withdrawn at a time. */
function play(nodes: SimulatedNode[], pressure: number, seed: number): number {
  const random = seededRandom(seed);
  let most = 0;
  for (let now = 0; now < DAY_MS; now += STEP_MS) {
    for (const node of nodes) {
      if (node.pressedUntil <= now && random() < pressure)
        node.pressedUntil = now + random() * 8_000;
    }
    step(nodes, now);
    const withdrawn = nodes.filter(node => isWithdrawn(node.withdrawal, now));
    most = Math.max(most, withdrawn.length);
  }
  return most;
}

for (const count of [9, 15, 33]) {
  test(`of ${count} nodes few are withdrawn at a time, and each for a short time`, t => {
    for (let seed = 1; seed <= 5; seed += 1) {
      const nodes = createNodes(count);
      const most = play(nodes, 0.02, seed);
      t.true(most <= Math.floor(count * MAX_WITHDRAWN_RATIO));
      t.is(most > 0, count >= 10);
      for (const {unreadyMs} of nodes)
        t.true(unreadyMs < DAY_MS * MAX_UNREADY_RATIO);
    }
  });
}

test('no node withdraws while its whole domain is under pressure', t => {
  t.is(play(createNodes(30), 1, 1), 0);
});
