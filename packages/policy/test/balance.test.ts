import test from 'ava';
import {
  chooseUpstream,
  type UpstreamRequirements,
  type UpstreamView,
} from '../src/balance.js';

const makeView = (
  name: string,
  overrides: Partial<UpstreamView> = {},
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
  ...overrides,
});

const makeRemoteView = (
  name: string,
  overrides: Partial<UpstreamView> = {},
) => {
  const local = makeView(name, overrides);
  return {...local, spec: {...local.spec, failureDomain: 'dha'}};
};

const makeRequirements = (
  overrides: Partial<UpstreamRequirements> = {},
): UpstreamRequirements => ({
  version: 'v',
  failureDomain: 'gulberg',
  avoid: new Set(),
  suspect: false,
  ...overrides,
});

const random = () => 0.3;
const choose = (
  views: UpstreamView[],
  overrides: Partial<UpstreamRequirements> = {},
) => chooseUpstream(views, makeRequirements(overrides), random);

test('a session uses its preferred upstream, then its second one', t => {
  const ranking = ['c', 'b', 'a'];
  const affinity = (name: string) => -ranking.indexOf(name);
  const views = [makeView('a'), makeView('b'), makeView('c')];
  t.is(choose(views, {affinity})?.upstream, 'c');
  const full = [makeView('a'), makeView('b'), makeView('c', {inFlight: 4})];
  t.is(choose(full, {affinity})?.upstream, 'b');
});

test('the same failure domain is preferred, and others are the fallback', t => {
  t.is(
    choose([makeRemoteView('a'), makeView('b', {inFlight: 3})])?.upstream,
    'b',
  );
  const spill = choose([makeRemoteView('a'), makeView('b', {inFlight: 4})]);
  t.deepEqual(spill, {upstream: 'a', reason: 'spill'});
  t.is(choose([makeRemoteView('a', {credits: 0})]), undefined);
});

test('the less utilised of two upstreams is chosen', t => {
  const views = [makeView('a', {inFlight: 3}), makeView('b', {inFlight: 1})];
  t.is(choose(views)?.upstream, 'b');
});

const EXCLUSIONS: ReadonlyArray<[string, Partial<UpstreamView>]> = [
  ['whose failure domain is out of service', {domainOut: true}],
  ['whose VM is leaving', {vmLeaving: true}],
  ['that cannot be reached', {reachable: false}],
  ['without credits', {credits: 0}],
  ['that is draining', {spec: {...makeView('x').spec, state: 'draining'}}],
  ['without the version', {spec: {...makeView('x').spec, versions: ['w']}}],
];

for (const [condition, overrides] of EXCLUSIONS) {
  test(`an upstream ${condition} is not chosen`, t => {
    t.is(choose([makeView('a', overrides)]), undefined);
    t.is(choose([makeView('a', overrides), makeView('b')])?.upstream, 'b');
  });
}

test('a suspected request does not run beside another suspected one', t => {
  const views = [makeView('a', {suspects: 1}), makeView('b', {inFlight: 3})];
  t.is(choose(views, {suspect: true})?.upstream, 'b');
  t.is(choose([views[0]], {suspect: true}), undefined);
});
