/** Plays bursts at a node whose processor is too small for them. */
import {
  EARLY_RETRY_AFTER_MS,
  isBetterRefused,
} from '@parsleyarch/policy/early-refusal';
import test from 'ava';
import {seededRandom} from './random.js';

/** Processor time of an answer and of a refusal at the node, milliseconds. */
const ANSWER_MS = 30;
const REFUSAL_MS = 6;
/** Time from the turn of a request to its answer, beyond its own processor time. */
const AFTER_TURN_MS = 3 * ANSWER_MS;
const BURST_MS = 4_000;
const PER_SECOND = 50;
const DEADLINE_MS = 4_000;
/** Time of a refused caller at another node, milliseconds. */
const ELSEWHERE_MS = EARLY_RETRY_AFTER_MS + 50;

interface Outcome {
  readonly urgent: boolean;
  readonly refused: boolean;
  readonly tookMs: number;
}

/** Requests of two priorities begin in turns; returns how each ended. */
function play(seed: number, refuses: boolean, hasRoomElsewhere: boolean) {
  const random = seededRandom(seed);
  const arrivals: {at: number; urgent: boolean}[] = [];
  for (
    let at = 0;
    at < BURST_MS;
    at -= (Math.log(1 - random()) / PER_SECOND) * 1_000
  )
    arrivals.push({at, urgent: random() < 0.3});
  const outcomes: Outcome[] = [];
  const waiting: {at: number; urgent: boolean}[] = [];
  let now = 0;
  const read = () => {
    while (arrivals.length > 0 && arrivals[0].at <= now) {
      const request = arrivals.shift()!;
      const {at, urgent} = request;
      const isBetter = isBetterRefused({
        aheadCount: waiting.filter(other => other.urgent || !urgent).length,
        turnMs: ANSWER_MS,
        waitedMs: now - at,
        objectiveMs: 1_000,
        leftMs: DEADLINE_MS - (now - at),
        hasRoomElsewhere,
      });
      if (!refuses || !isBetter) {
        waiting.push(request);
        continue;
      }
      now += REFUSAL_MS;
      outcomes.push({urgent, refused: true, tookMs: now - at + ELSEWHERE_MS});
    }
  };
  while (arrivals.length > 0 || waiting.length > 0) {
    now = Math.max(now, waiting.length > 0 ? now : arrivals[0].at);
    read();
    const urgentIndex = waiting.findIndex(({urgent}) => urgent);
    const [next] = waiting.splice(Math.max(0, urgentIndex), 1);
    if (!next) continue;
    now += ANSWER_MS;
    const {at, urgent} = next;
    const tookMs = now + AFTER_TURN_MS - at;
    outcomes.push({urgent, refused: false, tookMs});
  }
  return outcomes;
}

const countLate = (outcomes: readonly Outcome[]) =>
  outcomes.filter(({tookMs}) => tookMs > 1_000).length;

test('fewer callers are late where a burst beyond a node is refused early', t => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const without = play(seed, false, true);
    const outcomes = play(seed, true, true);
    t.true(countLate(outcomes) <= countLate(without) / 3);
    const refused = outcomes.filter(outcome => outcome.refused);
    t.is(countLate(refused), 0);
    const urgent = refused.filter(outcome => outcome.urgent);
    t.true(urgent.length <= refused.length / 5);
  }
});

test('without room elsewhere only those are refused that would miss their deadline', t => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const outcomes = play(seed, true, false);
    for (const {refused, tookMs} of outcomes)
      t.true(refused ? tookMs < 1_000 : tookMs < DEADLINE_MS * 2);
    const refused = outcomes.filter(outcome => outcome.refused);
    t.true(refused.length < outcomes.length / 4);
  }
});
