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
import {restoreAllocation, snapshotAllocation} from '../src/handover.js';

const COLD = 2;
const WARM = 10;

/** Simulated node: it commits to `holding` when it requests credits. */
interface SimulatedNode {
  running: number;
  credits: number;
  validUntil: number;
  sequence: number;
}

const step = fc.record({
  node: fc.integer({min: 0, max: 4}),
  action: fc.constantFrom('ask', 'start', 'start', 'end', 'lose', 'wait'),
  want: fc.integer({min: 0, max: 6}),
  ms: fc.integer({min: 1, max: 900}),
});

function sendRequest(
  node: number,
  simulated: SimulatedNode,
  now: number,
  want: number,
): CreditRequest {
  const valid = now < simulated.validUntil ? simulated.credits : 0;
  const requested = simulated.running + want;
  const holding = Math.max(simulated.running, Math.min(valid, requested));
  simulated.credits = holding;
  simulated.sequence += 1;
  return {
    node: `vm-${node}`,
    incarnation: 1,
    upstreamIncarnation: 1,
    knownLimit: 0,
    sequence: simulated.sequence,
    holding,
    want: requested,
    succeeded: 1,
    failed: false,
  };
}

test('running requests never exceed the limit, also when answers are lost', t => {
  const history = fc.array(step, {maxLength: 120});
  fc.assert(
    fc.property(history, steps => {
      let state: Allocation = createAllocation(COLD, WARM, 0, []);
      let now = 0;
      const nodes: SimulatedNode[] = Array.from({length: 5}, () => ({
        running: 0,
        credits: 0,
        validUntil: 0,
        sequence: 0,
      }));
      for (const {node, action, want, ms} of steps) {
        const simulated = nodes[node];
        if (action === 'wait') now += ms;
        if (action === 'ask' || action === 'lose') {
          const sent = sendRequest(node, simulated, now, want);
          const answer = grantCredits(state, sent, now);
          ({state} = answer);
          if (action === 'lose') continue;
          simulated.credits = answer.grant.credits;
          simulated.validUntil = now + GRANT_TTL_MS;
        }
        if (action === 'end')
          simulated.running = Math.max(0, simulated.running - 1);
        if (action !== 'start') continue;
        if (
          now >= simulated.validUntil ||
          simulated.running >= simulated.credits
        )
          continue;
        simulated.running += 1;
        const total = nodes.reduce((sum, each) => sum + each.running, 0);
        if (total > state.limit) return false;
      }
      return true;
    }),
    {seed: 20_261_203, numRuns: 3_000},
  );
  t.pass();
});

function creditRequest(
  node: string,
  overrides: Partial<CreditRequest> = {},
): CreditRequest {
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
    ...overrides,
  };
}

test('successes raise the limit, and a restart of the upstream resets it', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, creditRequest('a'), 0));
  t.is(state.limit, COLD);
  ({state} = grantCredits(
    state,
    creditRequest('a', {sequence: 2, succeeded: 2}),
    1,
  ));
  t.is(state.limit, COLD + 1);
  const restarted = creditRequest('a', {sequence: 3, upstreamIncarnation: 2});
  ({state} = grantCredits(state, restarted, 2));
  t.is(state.limit, COLD);
});

test('a new allocator grants nothing until all awaited nodes have reported', t => {
  let state = createAllocation(COLD, WARM, 100, ['a', 'b']);
  const early = grantCredits(state, creditRequest('a'), 50);
  t.is(early.grant.credits, 0);
  const partial = grantCredits(
    early.state,
    creditRequest('a', {sequence: 2}),
    200,
  );
  t.is(partial.grant.credits, 0);
  ({state} = grantCredits(
    partial.state,
    creditRequest('b', {holding: 1, want: 1}),
    210,
  ));
  const last = grantCredits(state, creditRequest('a', {sequence: 3}), 220);
  t.is(last.grant.credits, 1);
});

test('a stale credit request that arrives late changes nothing', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(
    state,
    creditRequest('a', {sequence: 5, want: 2}),
    0,
  ));
  const late = grantCredits(
    state,
    creditRequest('a', {sequence: 4, want: 0}),
    1,
  );
  t.is(late.state, state);
  t.is(late.grant.credits, 0);
});

test('credits of a dropped node become available', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(state, creditRequest('a', {want: 2}), 0));
  t.is(grantCredits(state, creditRequest('b'), 1).grant.credits, 0);
  state = dropNodes(state, node => node === 'a');
  t.is(grantCredits(state, creditRequest('b'), 1).grant.credits, 2);
});

test('a successor counts the grants of the stopping allocator', t => {
  let state = createAllocation(COLD, WARM, 0, []);
  ({state} = grantCredits(
    state,
    creditRequest('a', {want: 1, succeeded: 2}),
    0,
  ));
  const snapshot = snapshotAllocation(state, 500)!;
  const restored = restoreAllocation(snapshot, 9_000, COLD, WARM);
  t.is(restored.limit, state.limit);
  t.is(restored.limit, 3);
  t.is(
    grantCredits(restored, creditRequest('b', {want: 2}), 9_001).grant.credits,
    2,
  );
  t.true(
    grantCredits(restored, creditRequest('b', {want: 3}), 9_001).grant.credits <
      3,
  );
});

test('a recovering allocator provides no snapshot', t => {
  const state = createAllocation(COLD, WARM, 0, ['a', 'b']);
  t.is(snapshotAllocation(state, 10), undefined);
  const early = createAllocation(COLD, WARM, 100, []);
  t.is(snapshotAllocation(early, 10), undefined);
});

test('a warm upstream waits for reachable nodes, a cold one for all', t => {
  const initial = () =>
    createAllocation(COLD, WARM, 100_000, ['a', 'b', 'dead'], ['dead']);
  const report = (node: string, knownLimit: number) =>
    creditRequest(node, {knownLimit, want: 1});
  let warm = grantCredits(initial(), report('a', WARM), 0);
  t.is(warm.grant.credits, 0);
  warm = grantCredits(warm.state, report('b', WARM), 1);
  t.is(warm.grant.credits, 1);
  let cold = grantCredits(initial(), report('a', WARM - 1), 0);
  cold = grantCredits(cold.state, report('b', WARM - 1), 1);
  t.is(cold.grant.credits, 0);
});

test('a restored limit is not used after a restart of the upstream', t => {
  const initial = createAllocation(COLD, WARM, 100_000, ['a', 'b']);
  const old = grantCredits(initial, creditRequest('a', {knownLimit: WARM}), 0);
  const restarted = creditRequest('b', {upstreamIncarnation: 2, want: 1});
  const next = grantCredits(old.state, restarted, 1);
  t.is(next.state.limit, COLD);
  t.is(next.grant.credits, 0);
});
