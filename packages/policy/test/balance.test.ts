import test from 'ava';
import {chooseUpstream, type Need, type UpstreamView} from '../src/balance.js';

const view = (
  name: string,
  over: Partial<UpstreamView> = {},
): UpstreamView => ({
  name,
  spec: {
    failureDomain: 'gulberg',
    address: 'http://upstream',
    versions: ['v'],
    coldLimit: 1,
    warmLimit: 8,
    state: 'in',
    checksOrders: true,
  },
  domainOut: false,
  vmLeaving: false,
  reachable: true,
  credits: 4,
  inFlight: 0,
  reportedRunning: 0,
  limit: 8,
  suspects: 0,
  ...over,
});

const far = (name: string, over: Partial<UpstreamView> = {}) => {
  const near = view(name, over);
  return {...near, spec: {...near.spec, failureDomain: 'dha'}};
};

const need = (over: Partial<Need> = {}): Need => ({
  version: 'v',
  failureDomain: 'gulberg',
  avoid: new Set(),
  suspect: false,
  ...over,
});

const random = () => 0.3;
const choose = (views: UpstreamView[], over: Partial<Need> = {}) =>
  chooseUpstream(views, need(over), random);

test('a session goes to its own upstream, then to its second', t => {
  const order = ['c', 'b', 'a'];
  const affinity = (name: string) => -order.indexOf(name);
  const views = [view('a'), view('b'), view('c')];
  t.is(choose(views, {affinity})?.upstream, 'c');
  const full = [view('a'), view('b'), view('c', {inFlight: 4})];
  t.is(choose(full, {affinity})?.upstream, 'b');
});

test('near comes before far, and far before nothing', t => {
  t.is(choose([far('a'), view('b', {inFlight: 3})])?.upstream, 'b');
  const spill = choose([far('a'), view('b', {inFlight: 4})]);
  t.deepEqual(spill, {upstream: 'a', reason: 'spill'});
  t.is(choose([far('a', {credits: 0})]), undefined);
});

test('of two the lighter one is taken', t => {
  const views = [view('a', {inFlight: 3}), view('b', {inFlight: 1})];
  t.is(choose(views)?.upstream, 'b');
});

const EXCLUSIONS: ReadonlyArray<[string, Partial<UpstreamView>]> = [
  ['whose failure domain is out', {domainOut: true}],
  ['whose VM is leaving', {vmLeaving: true}],
  ['that cannot be reached', {reachable: false}],
  ['without credits', {credits: 0}],
  ['that drains', {spec: {...view('x').spec, state: 'draining'}}],
  ['without the version', {spec: {...view('x').spec, versions: ['w']}}],
];

for (const [what, over] of EXCLUSIONS) {
  test(`an upstream ${what} is not taken`, t => {
    t.is(choose([view('a', over)]), undefined);
    t.is(choose([view('a', over), view('b')])?.upstream, 'b');
  });
}

test('a suspect is kept apart from other suspects', t => {
  const views = [view('a', {suspects: 1}), view('b', {inFlight: 3})];
  t.is(choose(views, {suspect: true})?.upstream, 'b');
  t.is(choose([views[0]], {suspect: true}), undefined);
});
