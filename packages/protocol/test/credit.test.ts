import test from 'ava';
import fc from 'fast-check';
import {
  createAllocation,
  dropNodes,
  grantCredits,
  GRANT_TTL_MS,
  type CreditRequest,
  type Allocation,
} from '../src/credit.js';
import {takeAllocation, tellAllocation} from '../src/handover.js';

const COLD = 2;
const WARM = 10;

/** A node as the router runs it: commits to `holding` when it asks. */
interface Asker {
  running: number;
  credits: number;
  goodUntil: number;
  sequence: number;
}

const step = fc.record({
  node: fc.integer({min: 0, max: 4}),
  action: fc.constantFrom('ask', 'start', 'start', 'end', 'lose', 'wait'),
  want: fc.integer({min: 0, max: 6}),
  ms: fc.integer({min: 1, max: 900}),
});

function request(
  node: number,
  asker: Asker,
  now: number,
  want: number,
): CreditRequest {
  const good = now < asker.goodUntil ? asker.credits : 0;
  const wish = asker.running + want;
  const holding = Math.max(asker.running, Math.min(good, wish));
  asker.credits = holding;
  asker.sequence += 1;
  return {
    node: `vm-${node}`,
    incarnation: 1,
    upstreamIncarnation: 1,
    knownLimit: 0,
    sequence: asker.sequence,
    holding,
    want: wish,
    succeeded: 1,
    failed: false,
  };
}

test('whatever nodes ask, lose and run, the limit is never passed', t => {
  const history = fc.array(step, {maxLength: 120});
  fc.assert(
    fc.property(history, steps => {
      let state: Allocation = createAllocation(COLD, WARM, 0, []);
      let now = 0;
      const askers: Asker[] = Array.from({length: 5}, () => ({
        running: 0,
        credits: 0,
        goodUntil: 0,
        sequence: 0,
      }));
      for (const {node, action, want, ms} of steps) {
        const asker = askers[node];
        if (action === 'wait') now += ms;
        if (action === 'ask' || action === 'lose') {
          const ask = request(node, asker, now, want);
          const answer = grantCredits(state, ask, now);
          ({state} = answer);
          if (action === 'lose') continue;
          asker.credits = answer.grant.credits;
          asker.goodUntil = now + GRANT_TTL_MS;
        }
        if (action === 'end') asker.running = Math.max(0, asker.running - 1);
        if (action !== 'start') continue;
        if (now >= asker.goodUntil || asker.running >= asker.credits) continue;
        asker.running += 1;
        const total = askers.reduce((sum, each) => sum + each.running, 0);
        if (total > state.limit) return false;
      }
      return true;
    }),
    {seed: 20_261_203, numRuns: 3_000},
  );
  t.pass();
});

function ask(node: string, over: Partial<CreditRequest> = {}): CreditRequest {
  return {
    node,
    incarnation: 1,
    upstreamIncarnation: 1,
    knownLimit: 0,
    sequence: 1,
    holding: 0,
    want: 4,
    succeeded: 0,
    failed: false,
    ...over,
  };
}

test('the limit grows by successes and falls back with a new start', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, ask('a'), 0));
  t.is(state.limit, COLD);
  ({state} = grantCredits(state, ask('a', {sequence: 2, succeeded: 2}), 1));
  t.is(state.limit, COLD + 1);
  const restarted = ask('a', {sequence: 3, upstreamIncarnation: 2});
  ({state} = grantCredits(state, restarted, 2));
  t.is(state.limit, COLD);
});

test('a new allocator grants nothing until all awaited nodes have reported', t => {
  let state = createAllocation(COLD, WARM, 100, ['a', 'b']);
  const early = grantCredits(state, ask('a'), 50);
  t.is(early.grant.credits, 0);
  const half = grantCredits(early.state, ask('a', {sequence: 2}), 200);
  t.is(half.grant.credits, 0);
  ({state} = grantCredits(half.state, ask('b', {holding: 1, want: 1}), 210));
  const last = grantCredits(state, ask('a', {sequence: 3}), 220);
  t.is(last.grant.credits, 1);
});

test('an old ask that comes late takes nothing back', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, ask('a', {sequence: 5, want: 2}), 0));
  const late = grantCredits(state, ask('a', {sequence: 4, want: 0}), 1);
  t.is(late.state, state);
  t.is(late.grant.credits, 0);
});

test('credits of a node that is gone are free again', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, ask('a', {want: 2}), 0));
  t.is(grantCredits(state, ask('b'), 1).grant.credits, 0);
  state = dropNodes(state, node => node === 'a');
  t.is(grantCredits(state, ask('b'), 1).grant.credits, 2);
});

test('a successor counts what the leaving allocator had granted', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, ask('a', {want: 1, succeeded: 2}), 0));
  const told = tellAllocation(state, 500)!;
  const taken = takeAllocation(told, 9_000, COLD, WARM);
  t.is(taken.limit, state.limit);
  t.is(taken.limit, 3);
  t.is(grantCredits(taken, ask('b', {want: 2}), 9_001).grant.credits, 2);
  t.true(grantCredits(taken, ask('b', {want: 3}), 9_001).grant.credits < 3);
});

test('an allocator that still waits for reports hands nothing over', t => {
  const state = createAllocation(COLD, WARM, 0, ['a', 'b']);
  t.is(tellAllocation(state, 10), undefined);
  const early = createAllocation(COLD, WARM, 100, []);
  t.is(tellAllocation(early, 10), undefined);
});

test('a warm upstream waits for nodes that are up, a cold one for all', t => {
  const fresh = () =>
    createAllocation(COLD, WARM, 100_000, ['a', 'b', 'dead'], ['dead']);
  const report = (node: string, knownLimit: number) =>
    ask(node, {knownLimit, want: 1});
  let warm = grantCredits(fresh(), report('a', WARM), 0);
  t.is(warm.grant.credits, 0);
  warm = grantCredits(warm.state, report('b', WARM), 1);
  t.is(warm.grant.credits, 1);
  let cold = grantCredits(fresh(), report('a', WARM - 1), 0);
  cold = grantCredits(cold.state, report('b', WARM - 1), 1);
  t.is(cold.grant.credits, 0);
});

test('a limit recalled for an earlier start of the upstream is not used', t => {
  const fresh = createAllocation(COLD, WARM, 100_000, ['a', 'b']);
  const old = grantCredits(fresh, ask('a', {knownLimit: WARM}), 0);
  const restarted = ask('b', {upstreamIncarnation: 2, want: 1});
  const next = grantCredits(old.state, restarted, 1);
  t.is(next.state.limit, COLD);
  t.is(next.grant.credits, 0);
});
