/** Tests of the choice by old load, on modelled upstreams, with what callers get. */
import {
  engines,
  plainService,
  RULES,
} from '@parsleyarch/standins/measures/stale-load';
import {
  playLoad,
  type Scenario,
} from '@parsleyarch/standins/measures/stale-load-model';
import test from 'ava';

const SEED = 1;
/** Largest ratio of a figure with old load to that with load of the moment. */
const MAX_AGE_RATIO = 1.3;

const play = (scenario: Scenario, rule: string) =>
  playLoad(scenario, RULES[rule](), SEED);

for (const nodeCount of [58, 130])
  test(`requests to few places take as long with load of 800 ms as with that of the moment, ${nodeCount} nodes`, t => {
    const old = play(plainService(nodeCount, 800), 'level');
    const present = play(plainService(nodeCount, 0), 'level');
    t.log({old, present});
    t.true(old.p95Ms <= present.p95Ms * MAX_AGE_RATIO);
    t.true(old.meanMs <= present.meanMs * MAX_AGE_RATIO);
    t.true(old.busiestOverMean <= present.busiestOverMean * MAX_AGE_RATIO);
  });

const HARD: Readonly<Record<string, Partial<Scenario>>> = {
  'normal load': {},
  'prompts that are never cached': {cachedRatio: 0},
  'a prompt that a quarter of the requests share': {hotRatio: 0.25},
  'upstreams of changing pace': {slowFactor: 2.5},
};

for (const [name, changes] of Object.entries(HARD))
  test(`engines serve sooner than by simple rules with load of 600 ms: ${name}`, t => {
    const scenario = {...engines(58, 600), ...changes};
    const level = play(scenario, 'level');
    t.log({level});
    for (const rule of ['sample', 'random', 'two', 'least']) {
      const other = play(scenario, rule);
      t.log({rule, ...other});
      t.true(level.meanMs < other.meanMs);
      t.true(level.p95Ms < other.p95Ms);
      t.true(level.waitWhileIdle < other.waitWhileIdle);
    }
  });

for (const [name, create] of Object.entries({engines, plainService})) {
  test(`load of failure domains that swings is served without more work sent to others: ${name}`, t => {
    const scenario = {...create(58, 600), cachedRatio: 0, domainSwing: 0.5};
    const level = play(scenario, 'level');
    const sample = play(scenario, 'sample');
    t.log({level, sample});
    t.true(level.p95Ms < sample.p95Ms);
    t.true(level.otherDomainRatio < sample.otherDomainRatio);
  });

  for (const cutOffRatio of [0.34, 1])
    test(`nodes without load of others do no worse than two random choices: ${name}, ${cutOffRatio}`, t => {
      const scenario = {...create(58, 600), cutOffRatio};
      const level = play(scenario, 'level');
      const two = play(scenario, 'two');
      t.log({level, two});
      t.true(level.p95Ms <= two.p95Ms);
    });
}
