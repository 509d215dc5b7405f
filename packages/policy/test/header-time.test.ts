/** Tests of the expected time of sends, with drawn times of a heavy tail. */
import {
  expectHeaderTime,
  recordHeaderTime,
  type MsPerWorkUnit,
} from '@parsleyarch/policy/header-time';
import {valueOfAsking} from '@parsleyarch/policy/model-choice';
import test from 'ava';
import {seededRandom} from './random.js';

/** Spread of the drawn times on a logarithmic scale. */
const LOG_SPREAD = 0.8;
const SEND_COUNT = 4_000;

interface DrawnSend {
  readonly work: number;
  readonly expectedMs: number;
  readonly tookMs: number;
}

/** Draws sends whose times depend on work in part, and predicts each before it ends. */
function drawSends(seed: number): DrawnSend[] {
  const random = seededRandom(seed);
  const normal = () =>
    Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
  const sends: DrawnSend[] = [];
  let msPerUnit: MsPerWorkUnit;
  for (let index = 0; index < SEND_COUNT; index += 1) {
    const work = 0.5 + 12 * random() ** 3;
    const tookMs = (250 + 25 * work) * Math.exp(LOG_SPREAD * normal());
    const expectedMs = expectHeaderTime(msPerUnit, work);
    sends.push({work, expectedMs, tookMs});
    msPerUnit = recordHeaderTime(msPerUnit, work, tookMs);
  }
  return sends;
}

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

test('the expected time is that of sends behind little work and behind much', t => {
  const sends = drawSends(1);
  for (const [least, most] of [
    [0, 1],
    [4, 8],
    [8, 13],
  ]) {
    const some = sends.filter(({work}) => work >= least && work < most);
    const expectedMs = mean(some.map(send => send.expectedMs));
    const tookMs = mean(some.map(send => send.tookMs));
    t.true(Math.abs(expectedMs / tookMs - 1) < 0.3, `${expectedMs} ${tookMs}`);
  }
});

test('the chance to be in time is close to the share that is in time', t => {
  const sends = drawSends(2);
  for (const leftMs of [300, 600, 1_200, 2_400]) {
    const inTime = sends.map(({tookMs}) => (tookMs <= leftMs ? 1 : 0));
    // With certain success and no cost the value is 1 in time and 0.3 after it.
    const answer = {confidence: 50, elapsedMs: 0, objectiveMs: leftMs};
    const option = {name: 'm', cost: 0, presentWork: 0, confidenceGain: 500};
    const chances = sends.map(
      ({expectedMs}) =>
        (valueOfAsking(answer, {...option, expectedMs}) - 0.3) / 0.7,
    );
    const difference = mean(chances) - mean(inTime);
    t.true(Math.abs(difference) < 0.1, `${leftMs} ms: ${difference}`);
  }
});
