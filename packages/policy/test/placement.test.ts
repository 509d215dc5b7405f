import test from 'ava';
import fc from 'fast-check';
import {
  decidePlacement,
  LOADS_AT_ONCE,
  type PlacementView,
} from '../src/placement.js';

const view = (
  name: string,
  failureDomain: string,
  over: Partial<PlacementView> = {},
): PlacementView => ({
  name,
  failureDomain,
  inService: true,
  slots: 1,
  held: [],
  running: 0,
  warmLimit: 8,
  ...over,
});

const demand = (version: string, minReplicas: number, concurrency = 0) => ({
  version,
  active: true,
  minReplicas,
  concurrency,
});

test('replicas are spread over failure domains first', t => {
  const views = [
    view('u1', 'a', {held: ['v']}),
    view('u2', 'a'),
    view('u3', 'b', {running: 5}),
  ];
  const [order] = decidePlacement(views, [demand('v', 2)]);
  t.is(order.upstream, 'u3');
});

test('demand beyond the minimum asks for more replicas', t => {
  const views = [view('u1', 'a', {held: ['v']}), view('u2', 'b')];
  t.is(decidePlacement(views, [demand('v', 1, 2)]).length, 0);
  t.is(decidePlacement(views, [demand('v', 1, 8)]).length, 1);
});

test('the only replica of a version in use is not made cold by a load', t => {
  const views = [view('u1', 'a', {held: ['v'], slots: 2})];
  const demands = [demand('v', 1, 1), demand('w', 1)];
  t.deepEqual(decidePlacement(views, demands), []);
});

test('a withdrawn version is unloaded', t => {
  const views = [view('u1', 'a', {held: ['v']})];
  const [order] = decidePlacement(views, [{...demand('v', 1), active: false}]);
  t.is(order.order, 'unload');
});

test('no round orders twice on one upstream or beyond the weight store', t => {
  const anyView = fc.record({
    domain: fc.constantFrom('a', 'b', 'c'),
    held: fc.uniqueArray(fc.constantFrom('v', 'w', 'x'), {maxLength: 2}),
    pending: fc.option(fc.constantFrom('v', 'w', 'x'), {nil: undefined}),
    inService: fc.boolean(),
  });
  const anyDemand = fc.tuple(fc.nat(5), fc.nat(30));
  fc.assert(
    fc.property(
      fc.array(anyView, {maxLength: 10}),
      fc.tuple(anyDemand, anyDemand, anyDemand),
      (drawn, asked) => {
        const views = drawn.map(({domain, ...over}, at) =>
          view(`u${at}`, domain, {...over, slots: 2}),
        );
        const names = ['v', 'w', 'x'];
        const demands = asked.map(([min, now], at) =>
          demand(names[at], min, now),
        );
        const orders = decidePlacement(views, demands);
        const targets = new Set(orders.map(order => order.upstream));
        const loads = orders.filter(order => order.order === 'load').length;
        const pending = views.filter(each => each.pending).length;
        if (targets.size !== orders.length) return false;
        if (loads > 0 && loads + pending > LOADS_AT_ONCE) return false;
        return orders.every(({order, upstream, version}) => {
          const held = views.find(each => each.name === upstream)!.held;
          return held.includes(version) === (order === 'unload');
        });
      },
    ),
    {seed: 20_261_203, numRuns: 1_000},
  );
  t.pass();
});
