import test from 'ava';
import fc from 'fast-check';
import {
  decidePlacement,
  MAX_CONCURRENT_LOAD_COUNT,
  type PlacementView,
} from '../src/placement.js';

const makeView = (
  name: string,
  failureDomain: string,
  overrides: Partial<PlacementView> = {},
): PlacementView => ({
  name,
  failureDomain,
  inService: true,
  slots: 1,
  loaded: [],
  running: 0,
  warmLimit: 8,
  ...overrides,
});

const makeDemand = (version: string, minReplicas: number, concurrency = 0) => ({
  version,
  active: true,
  minReplicas,
  concurrency,
});

test('a new replica goes to a failure domain without one', t => {
  const views = [
    makeView('u1', 'a', {loaded: ['v']}),
    makeView('u2', 'a'),
    makeView('u3', 'b', {running: 5}),
  ];
  const [order] = decidePlacement(views, [makeDemand('v', 2)]);
  t.is(order.upstream, 'u3');
});

test('demand beyond the minimum adds replicas', t => {
  const views = [makeView('u1', 'a', {loaded: ['v']}), makeView('u2', 'b')];
  t.is(decidePlacement(views, [makeDemand('v', 1, 2)]).length, 0);
  t.is(decidePlacement(views, [makeDemand('v', 1, 8)]).length, 1);
});

test('the upstream with the only replica of a version in use gets no load', t => {
  const views = [makeView('u1', 'a', {loaded: ['v'], slots: 2})];
  const demands = [makeDemand('v', 1, 1), makeDemand('w', 1)];
  t.deepEqual(decidePlacement(views, demands), []);
});

test('a withdrawn version is unloaded', t => {
  const views = [makeView('u1', 'a', {loaded: ['v']})];
  const [order] = decidePlacement(views, [
    {...makeDemand('v', 1), active: false},
  ]);
  t.is(order.order, 'unload');
});

test('a round has one order per upstream and bounded concurrent loads', t => {
  const anyView = fc.record({
    domain: fc.constantFrom('a', 'b', 'c'),
    loaded: fc.uniqueArray(fc.constantFrom('v', 'w', 'x'), {maxLength: 2}),
    pendingVersion: fc.option(fc.constantFrom('v', 'w', 'x'), {nil: undefined}),
    inService: fc.boolean(),
  });
  const anyDemand = fc.tuple(fc.nat(5), fc.nat(30));
  fc.assert(
    fc.property(
      fc.array(anyView, {maxLength: 10}),
      fc.tuple(anyDemand, anyDemand, anyDemand),
      (drawnViews, drawnDemands) => {
        const views = drawnViews.map(({domain, ...overrides}, index) =>
          makeView(`u${index}`, domain, {...overrides, slots: 2}),
        );
        const names = ['v', 'w', 'x'];
        const demands = drawnDemands.map(([minReplicas, concurrency], index) =>
          makeDemand(names[index], minReplicas, concurrency),
        );
        const orders = decidePlacement(views, demands);
        const targets = new Set(orders.map(order => order.upstream));
        const loads = orders.filter(order => order.order === 'load').length;
        const pending = views.filter(view => view.pendingVersion).length;
        if (targets.size !== orders.length) return false;
        if (loads > 0 && loads + pending > MAX_CONCURRENT_LOAD_COUNT)
          return false;
        return orders.every(({order, upstream, version}) => {
          const loaded = views.find(view => view.name === upstream)!.loaded;
          return loaded.includes(version) === (order === 'unload');
        });
      },
    ),
    {seed: 20_261_203, numRuns: 1_000},
  );
  t.pass();
});
