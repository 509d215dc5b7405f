/** Request outcomes while a failure domain is taken out and put back under load. */
import {applyChanges, waitForRevision} from '../cluster.js';
import {closeScenario, startScenario} from '../scenario.js';
import {seededRandom, type Measurement} from './figures.js';
import {omitRequests, runLoad} from './load.js';

const FAILURE_DOMAINS = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
const REQUESTS_PER_SECOND = 60;
const PHASE_SECONDS = 5;
/** Duration of the load before the domain is taken out. */
const LOAD_BEFORE_OUT_MS = 1_000;
/** Time after which a domain that is out must not receive new requests. */
const MAX_WORK_AFTER_OUT_MS = 2_000;

/** Phases: all domains in, one taken out, the same one back in. */
export const measureDomain: Measurement = async (seed, logProgress) => {
  const random = seededRandom(seed);
  const scenario = await startScenario({
    domains: FAILURE_DOMAINS,
    engineDomains: [...FAILURE_DOMAINS, ...FAILURE_DOMAINS],
    engine: {
      coldLimit: 2,
      warmLimit: 8,
      completionsPerLimitStep: 2,
      tokenMs: 8,
    },
    logLevel: 'error',
  });
  const {cluster, engines} = scenario;
  const load = (label: string) =>
    runLoad({
      nodes: () => cluster.nodes,
      requestsPerSecond: REQUESTS_PER_SECOND,
      seconds: PHASE_SECONDS,
      random,
      label: `${label} ${seed}`,
    });
  const setDomainState = (state: 'in' | 'out') =>
    applyChanges(cluster.nodes[0], [
      {
        kind: 'FailureDomain',
        name: FAILURE_DOMAINS[0],
        spec: {region: 'ulaanbaatar', state},
      },
    ]);
  // The engines in the failure domain that is taken out.
  const domainEngines = [...engines.instances.entries()]
    .filter(([name]) => name === 'engine-1' || name === 'engine-4')
    .map(([, engine]) => engine);
  try {
    await load('warm');
    logProgress('all failure domains in');
    const before = await load('before');
    logProgress('taking one failure domain out');
    const loadDuring = load('during');
    await new Promise(resolve => setTimeout(resolve, LOAD_BEFORE_OUT_MS));
    await setDomainState('out');
    const outAt = Date.now();
    const during = await loadDuring;
    const lastStartedAt = Math.max(
      ...domainEngines.map(engine => engine.lastStartedAt),
    );
    const lastWorkMs = Math.max(0, lastStartedAt - outAt);
    logProgress('putting the failure domain back in');
    const backAt = Date.now();
    await waitForRevision(cluster, await setDomainState('in'));
    const after = await load('after');
    const servedAgain = domainEngines.some(
      engine => engine.lastStartedAt > backAt,
    );
    const phases = [before, during, after];
    const crashes = [...engines.instances.values()].reduce(
      (sum, engine) => sum + engine.crashes,
      0,
    );
    const broken = phases.reduce(
      (sum, phase) => sum + phase.cut + phase.wrong + phase.failed,
      0,
    );
    const workedTooLate = lastWorkMs > MAX_WORK_AFTER_OUT_MS ? 1 : 0;
    return {
      violations: broken + workedTooLate + crashes,
      lastWorkInDomainMs: lastWorkMs,
      servesAgain: servedAgain,
      crashes,
      before: omitRequests(before),
      during: omitRequests(during),
      after: omitRequests(after),
    };
  } finally {
    await closeScenario(scenario);
  }
};
