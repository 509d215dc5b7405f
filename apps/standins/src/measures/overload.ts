/** Goodput at twice the capacity, and after the load has dropped to half. */
import {closeScenario, SMALL_CUSTOMER_KEY, startScenario} from '../scenario.js';
import {seededRandom, type Measurement} from './figures.js';
import {runLoad} from './load.js';

const FAILURE_DOMAINS = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
const LOAD_SECONDS = 6;
const MIN_GOODPUT_RATIO = 0.9;
const WARM_UP_REQUESTS_PER_SECOND = 40;
const PROBE_REQUESTS_PER_SECOND = 400;
const SMALL_CUSTOMER_REQUESTS_PER_SECOND = 4;
/** Time within which a refusal counts as immediate. */
const IMMEDIATE_REFUSAL_MS = 100;

/**
 * Measures the capacity as the throughput under a probe load far above it, then
 * sends 2x the capacity, then half of it.
 */
export const measureOverload: Measurement = async (seed, logProgress) => {
  const random = seededRandom(seed);
  const scenario = await startScenario({
    domains: FAILURE_DOMAINS,
    engineDomains: FAILURE_DOMAINS,
    engine: {coldLimit: 4, warmLimit: 4, firstTokenMs: 40, tokenMs: 10},
    logLevel: 'error',
  });
  const {cluster} = scenario;
  const load = (label: string, requestsPerSecond: number, key?: string) =>
    runLoad({
      nodes: () => cluster.nodes,
      requestsPerSecond,
      seconds: LOAD_SECONDS,
      random,
      label: `${label} ${seed}`,
      key,
    });
  try {
    await load('warm', WARM_UP_REQUESTS_PER_SECOND);
    logProgress('measuring the capacity');
    const probe = await load('probe', PROBE_REQUESTS_PER_SECOND);
    const capacity = probe.whole / LOAD_SECONDS;
    logProgress(
      `capacity ${capacity.toFixed(0)}/s; sending twice that, with a small customer`,
    );
    const [twice, small] = await Promise.all([
      load('twice', capacity * 2 - SMALL_CUSTOMER_REQUESTS_PER_SECOND),
      load('small', SMALL_CUSTOMER_REQUESTS_PER_SECOND, SMALL_CUSTOMER_KEY),
    ]);
    const goodput = (twice.whole + small.whole) / LOAD_SECONDS;
    logProgress('sending half the capacity');
    const half = await load('half', capacity / 2);
    const refusals = twice.sent.filter(({answer}) => !answer.complete);
    const slowRefusals = refusals.filter(
      ({answer}) => answer.totalMs > IMMEDIATE_REFUSAL_MS,
    );
    const broken = [probe, twice, small, half].reduce(
      (sum, result) => sum + result.cut + result.wrong + result.failed,
      0,
    );
    const lowGoodput = goodput < capacity * MIN_GOODPUT_RATIO ? 1 : 0;
    const servedShare = half.whole / half.sent.length;
    return {
      violations: broken + lowGoodput,
      capacityPerSecond: Math.round(capacity),
      goodputShareAtTwice: Number((goodput / capacity).toFixed(3)),
      refusalsHeldShare: Number(
        (slowRefusals.length / refusals.length).toFixed(3),
      ),
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
