/**
 * The bound on a request that ends its upstreams, as a property of the decisions: nodes
 * with delayed reports, upstreams that start again, new nodes, one store.
 */
import {
  clearSuspects,
  createCrashEvidence,
  createSuspects,
  dropOldCrashes,
  listCulprits,
  mergeCrash,
  type Crash,
  type CrashEvidence,
} from '@parsleyarch/policy/crash-evidence';
import {Doubt, nextTrialAt} from '@parsleyarch/policy/crash-trials';
import test from 'ava';
import fc from 'fast-check';

const KEY = 'request a b';
/** Time from the start of a run to the end of its upstream, and of its probe. */
const RUN_MS = 60;
const PROBE_MS = 25;
/** Time from an end until a node has written a record of a culprit. */
const RECORD_MS = 1_500;
/** Time after the third end from which sends count, and sends that may follow. */
const CONTACT_MS = 3_000;
const MAX_LATER_SENDS = 3;

interface ModelNode {
  evidence: CrashEvidence;
  answeredAt: number;
  /** Trials by the store's record, and when the node learned of them. */
  trials?: {readonly count: number; readonly changedAt: number};
}

interface Scenario {
  readonly nodeCount: number;
  readonly upstreamCount: number;
  readonly restartMs: number;
  /** Longest time that a report or a change of the store takes. */
  readonly maxDelayMs: number;
  /** Arrivals after which the request ends its upstreams. */
  readonly soundCount: number;
  readonly arrivals: readonly {
    readonly gapMs: number;
    readonly node: number;
    readonly upstream: number;
    readonly delay: number;
    /** Whether the node was replaced just before. */
    readonly isNew: boolean;
  }[];
}

interface Event {
  readonly at: number;
  readonly run: () => void;
}

/** Plays a scenario; returns when upstreams ended and when requests were sent. */
function play(scenario: Scenario): {endedAt: number[]; sentAt: number[]} {
  const {nodeCount, upstreamCount, restartMs, maxDelayMs} = scenario;
  const events: Event[] = [];
  const nodes: ModelNode[] = Array.from({length: nodeCount}, () => ({
    evidence: createCrashEvidence(),
    answeredAt: -Infinity,
  }));
  const downUntil = Array.from({length: upstreamCount}, () => -Infinity);
  const starts = Array.from({length: upstreamCount}, () => 0);
  const endedAt: number[] = [];
  const sentAt: number[] = [];
  let stored: number | undefined;
  const after = (at: number, run: () => void) => void events.push({at, run});

  const learn = (node: ModelNode, crash: Crash) => {
    mergeCrash(node.evidence, crash);
    clearSuspects(node.evidence, [KEY], node.answeredAt);
  };
  const write = (now: number, writer: ModelNode, count: number) => {
    stored = count;
    writer.trials = {count, changedAt: now};
    for (const node of nodes) {
      after(now + maxDelayMs, () => {
        if ((node.trials?.count ?? -1) < count)
          node.trials = {count, changedAt: now + maxDelayMs};
      });
    }
  };
  const mayTry = (now: number, node: ModelNode) => {
    const [culprit] = listCulprits(node.evidence, [KEY]);
    if (!culprit && !node.trials) return true;
    const answered =
      node.answeredAt > -Infinity ? Doubt.answeredBefore : Doubt.none;
    const due = nextTrialAt({
      trialCount: node.trials?.count ?? 0,
      changedAt: Math.max(
        culprit?.lastEndAt ?? -Infinity,
        node.trials?.changedAt ?? -Infinity,
      ),
      doubt: culprit?.mayShareCause ? Doubt.commonCause : answered,
    });
    // The store takes a write only from a node that knows its latest record.
    const isCurrent = stored === node.trials?.count;
    if (now >= due && isCurrent) {
      write(now, node, (stored ?? 0) + 1);
      return true;
    }
    return false;
  };
  const record = (now: number) => {
    const node = nodes.find(
      ({evidence}) => listCulprits(evidence, [KEY]).length > 0,
    );
    if (node && stored === undefined) write(now, node, 0);
  };
  const end = (now: number, node: ModelNode, index: number, delay: number) => {
    if (downUntil[index] > now) return;
    downUntil[index] = now + restartMs;
    starts[index] += 1;
    endedAt.push(now);
    const upstream = `u${index}@${starts[index]}`;
    const suspects = createSuspects([KEY], RUN_MS);
    const crash = {upstream, at: now, suspects};
    after(now + PROBE_MS, () => learn(node, crash));
    after(now + RECORD_MS, () => record(now + RECORD_MS));
    for (const other of nodes) {
      const at = now + PROBE_MS + delay * maxDelayMs;
      after(at, () => learn(other, crash));
    }
  };
  let arrivedAt = 0;
  for (const [count, arrival] of scenario.arrivals.entries()) {
    arrivedAt += arrival.gapMs;
    const now = arrivedAt;
    after(now, () => {
      const node = nodes[arrival.node % nodeCount];
      if (arrival.isNew) {
        const other = nodes[(arrival.node + 1) % nodeCount];
        node.evidence = createCrashEvidence();
        for (const crash of other.evidence.crashes.values())
          mergeCrash(node.evidence, crash);
        node.answeredAt = -Infinity;
        node.trials =
          stored === undefined ? undefined : {count: stored, changedAt: now};
      }
      dropOldCrashes(node.evidence, now);
      const up = downUntil.flatMap((until, index) =>
        until <= now ? [index] : [],
      );
      if (up.length === 0 || !mayTry(now, node)) return;
      const index = up[arrival.upstream % up.length];
      sentAt.push(now);
      if (count >= scenario.soundCount)
        return after(now + RUN_MS, () =>
          end(now + RUN_MS, node, index, arrival.delay),
        );
      node.answeredAt = now;
    });
  }
  while (events.length > 0) {
    events.sort((a, b) => a.at - b.at);
    events.shift()!.run();
  }
  return {endedAt, sentAt};
}

const arrival = (gapMs: fc.Arbitrary<number>) =>
  fc.record({
    gapMs,
    node: fc.nat(20),
    upstream: fc.nat(20),
    delay: fc.double({min: 0.1, max: 1, noNaN: true}),
    isNew: fc.constantFrom(false, false, false, false, true),
  });
const scenario = fc.record({
  nodeCount: fc.integer({min: 2, max: 9}),
  upstreamCount: fc.integer({min: 1, max: 9}),
  restartMs: fc.integer({min: 500, max: 8_000}),
  maxDelayMs: fc.integer({min: 10, max: 800}),
  soundCount: fc.nat(5),
  arrivals: fc
    .tuple(
      fc.array(arrival(fc.integer({min: 1, max: 1_500})), {
        minLength: 20,
        maxLength: 60,
      }),
      fc.array(arrival(fc.integer({min: 1, max: 1_200_000})), {maxLength: 40}),
    )
    .map(arrivals => arrivals.flat()),
});

test('few sends follow the third end, whenever requests arrive and whatever nodes know', t => {
  fc.assert(
    fc.property(scenario, played => {
      const {endedAt, sentAt} = play(played);
      const countFrom = (endedAt[2] ?? Infinity) + CONTACT_MS;
      return sentAt.filter(at => at > countFrom).length <= MAX_LATER_SENDS;
    }),
    {numRuns: 300},
  );
  t.pass();
});
