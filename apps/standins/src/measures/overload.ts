/** Goodput at twice the capacity, and after the load has fallen. */
import {closeScenario, SMALL_CUSTOMER_KEY, startScenario} from '../scenario.js';
import {seeded, type Measure} from './figures.js';
import {runLoad} from './load.js';

const PLACES = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
const SECONDS = 6;
const GOODPUT_SHARE = 0.9;
const WARM_RATE = 40;
const PROBE_RATE = 400;
const SMALL_RATE = 4;
/** Time within which a refusal counts as given at once. */
const AT_ONCE_MS = 100;

/** Capacity is what a flood gets through; then 2x of it, then half. */
export const measureOverload: Measure = async (seed, say) => {
  const random = seeded(seed);
  const scenario = await startScenario({
    domains: PLACES,
    engineDomains: PLACES,
    engine: {coldLimit: 4, warmLimit: 4, firstTokenMs: 40, tokenMs: 10},
    logLevel: 'error',
  });
  const {cluster} = scenario;
  const load = (label: string, requestsPerSecond: number, key?: string) =>
    runLoad({
      nodes: () => cluster.nodes,
      requestsPerSecond,
      seconds: SECONDS,
      random,
      label: `${label} ${seed}`,
      key,
    });
  try {
    await load('warm', WARM_RATE);
    say('probing the capacity');
    const probe = await load('probe', PROBE_RATE);
    const capacity = probe.whole / SECONDS;
    say(
      `capacity ${capacity.toFixed(0)}/s; twice that, beside a small customer`,
    );
    const [twice, small] = await Promise.all([
      load('twice', capacity * 2 - SMALL_RATE),
      load('small', SMALL_RATE, SMALL_CUSTOMER_KEY),
    ]);
    const goodput = (twice.whole + small.whole) / SECONDS;
    say('half of it');
    const half = await load('half', capacity / 2);
    const refusals = twice.sent.filter(({answer}) => !answer.complete);
    const slow = refusals.filter(({answer}) => answer.totalMs > AT_ONCE_MS);
    const broken = [probe, twice, small, half].reduce(
      (sum, each) => sum + each.cut + each.wrong + each.failed,
      0,
    );
    const poor = goodput < capacity * GOODPUT_SHARE ? 1 : 0;
    const servedShare = half.whole / half.sent.length;
    return {
      violations: broken + poor,
      capacityPerSecond: Math.round(capacity),
      goodputShareAtTwice: Number((goodput / capacity).toFixed(3)),
      refusalsHeldShare: Number((slow.length / refusals.length).toFixed(3)),
      smallCustomerServedShare: small.whole / small.sent.length,
      largeCustomerServedShare: twice.whole / twice.sent.length,
      firstTokenAtTwice: twice.firstToken,
      servedShareAtHalfAfter: servedShare,
      firstTokenAtHalfAfter: half.firstToken,
    };
  } finally {
    await closeScenario(scenario);
  }
};
