/** Service while a failure domain leaves and returns under load. */
import {applyChanges, waitForRevision} from '../cluster.js';
import {closeScenario, startScenario} from '../scenario.js';
import {seeded, type Measure} from './figures.js';
import {countsOf, runLoad} from './load.js';

const PLACES = ['bayanzurkh', 'sukhbaatar', 'khan-uul'];
const RATE = 60;
const PHASE_SECONDS = 5;
/** Load before the domain is taken out, milliseconds. */
const LEAD_MS = 1_000;
/** Bound after which a domain that is out may get nothing new. */
const OUT_BOUND_MS = 2_000;

/** Three phases: all in, one out, back in. */
export const measureDomain: Measure = async (seed, say) => {
  const random = seeded(seed);
  const scenario = await startScenario({
    domains: PLACES,
    engineDomains: [...PLACES, ...PLACES],
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
      requestsPerSecond: RATE,
      seconds: PHASE_SECONDS,
      random,
      label: `${label} ${seed}`,
    });
  const set = (state: 'in' | 'out') =>
    applyChanges(cluster.nodes[0], [
      {
        kind: 'FailureDomain',
        name: PLACES[0],
        spec: {region: 'ulaanbaatar', state},
      },
    ]);
  const inside = [...engines.instances.entries()]
    .filter(([name]) => name === 'engine-1' || name === 'engine-4')
    .map(([, engine]) => engine);
  try {
    await load('warm');
    say('all in');
    const before = await load('before');
    say('one domain out');
    const leaving = load('during');
    await new Promise(resolve => setTimeout(resolve, LEAD_MS));
    await set('out');
    const outAt = Date.now();
    const during = await leaving;
    const last = Math.max(...inside.map(engine => engine.lastStartedAt));
    const lastWorkMs = Math.max(0, last - outAt);
    say('back in');
    const backAt = Date.now();
    await waitForRevision(cluster, await set('in'));
    const after = await load('after');
    const begun = inside.some(engine => engine.lastStartedAt > backAt);
    const phases = [before, during, after];
    const crashes = [...engines.instances.values()].reduce(
      (sum, engine) => sum + engine.crashes,
      0,
    );
    const broken = phases.reduce(
      (sum, p) => sum + p.cut + p.wrong + p.failed,
      0,
    );
    const late = lastWorkMs > OUT_BOUND_MS ? 1 : 0;
    return {
      violations: broken + late + crashes,
      lastWorkInDomainMs: lastWorkMs,
      servesAgain: begun,
      crashes,
      before: countsOf(before),
      during: countsOf(during),
      after: countsOf(after),
    };
  } finally {
    await closeScenario(scenario);
  }
};
