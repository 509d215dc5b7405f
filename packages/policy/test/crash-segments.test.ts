/**
 * The bounds on a prompt segment that ends upstreams, as properties of the decisions:
 * few requests with it reach upstreams, and sound requests that share their other
 * segments with it are served. Nodes exchange reports; one store keeps the records.
 */
import {
  clearSuspects,
  createCrashEvidence,
  createSuspects,
  isReleased,
  listAllCulprits,
  listCulprits,
  mergeCrash,
  Suspicion,
  valueTrial,
  type Assessment,
  type CrashEvidence,
} from '@parsleyarch/policy/crash-evidence';
import {listSegmentKeys} from '@parsleyarch/policy/crash-keys';
import {Doubt, nextTrialAt} from '@parsleyarch/policy/crash-trials';
import test from 'ava';
import fc from 'fast-check';
import {seededRandom} from './random.js';

const STEP_MS = 10;
const PROBE_MS = 20;
const RECORD_DELAY_MS = 1_000;
/** Time after the fifth end from which sends count, and sends that may follow. */
const CONTACT_MS = 3_000;
const MAX_LATER_SENDS = 3;
const FATAL_AT_MS = 6_000;
/** Sends of one request that may end upstreams. */
const MAX_CRASHES_OF_REQUEST = 2;

interface Scenario {
  readonly seed: number;
  readonly nodeCount: number;
  readonly upstreamCount: number;
  readonly restartMs: number;
  readonly reportMs: number;
  /** Longest time from a send to the first event. */
  readonly prefillMs: number;
  /** Time from the first event to the one that proves that the upstream lives on. */
  readonly proofMs: number;
  readonly soundPerSecond: number;
  readonly fatalPerSecond: number;
  /** Number of shared segments before and after the fatal one. */
  readonly before: number;
  readonly after: number;
  readonly fatalForMs: number;
  /** Whether requests with the fatal segment were sound before. */
  readonly wasSound: boolean;
}

interface Run {
  readonly node: number;
  readonly keys: readonly string[];
  readonly fatal: boolean;
  readonly sentAt: number;
  readonly eventAt: number;
  readonly isTrial: boolean;
  readonly crashes: number;
}

interface Upstream {
  upAt: number;
  starts: number;
  runs: Run[];
}

interface ModelNode {
  readonly evidence: CrashEvidence;
  /** Keys of answered sends, and when the latest of them began. */
  readonly answered: Map<string, number>;
}

interface Outcome {
  readonly endedAt: number[];
  readonly fatalSentAt: number[];
  readonly sound: {readonly at: number; begun: boolean}[];
}

function play(scenario: Scenario): Outcome {
  const {nodeCount, upstreamCount, before, after} = scenario;
  const random = seededRandom(scenario.seed);
  const draw = (count: number) => Math.floor(random() * count);
  const nodes: ModelNode[] = Array.from({length: nodeCount}, () => ({
    evidence: createCrashEvidence(),
    answered: new Map(),
  }));
  const upstreams: Upstream[] = Array.from({length: upstreamCount}, () => ({
    upAt: 0,
    starts: 0,
    runs: [],
  }));
  const records = new Map<string, {trials: number; changedAt: number}>();
  const outcome: Outcome = {endedAt: [], fatalSentAt: [], sound: []};
  const soundByRun = new Map<Run, {begun: boolean}>();
  const pending: {readonly at: number; readonly run: () => void}[] = [];
  let now = 0;
  let count = 0;

  const apply = (node: ModelNode, crash: Parameters<typeof mergeCrash>[1]) => {
    mergeCrash(node.evidence, crash);
    for (const key of crash.suspects.keys()) {
      const sentAt = node.answered.get(key);
      if (sentAt === undefined) continue;
      clearSuspects(node.evidence, [key], sentAt);
    }
  };
  const exchange = (one: ModelNode, other: ModelNode) => {
    if (one.evidence.digest === other.evidence.digest) return;
    for (const crash of [...one.evidence.crashes.values()]) apply(other, crash);
    for (const crash of [...other.evidence.crashes.values()]) apply(one, crash);
  };
  const trialAt = (
    node: ModelNode,
    keys: readonly string[],
    {key, lastEndAt, crashCount}: Assessment,
  ) =>
    nextTrialAt({
      crashCount,
      value: valueTrial(node.evidence, keys, key),
      trialCount: records.get(key)?.trials ?? 0,
      changedAt: Math.max(lastEndAt, records.get(key)?.changedAt ?? -Infinity),
      doubt: node.answered.has(key) ? Doubt.answeredBefore : Doubt.none,
    });
  /** Whether a request is refused, sent, or sent as a trial. */
  const judge = (node: ModelNode, keys: readonly string[]) => {
    const culprits = [...listCulprits(node.evidence, keys)];
    for (const key of keys) {
      const record = records.get(key);
      if (!record || culprits.some(culprit => culprit.key === key)) continue;
      if (isReleased(node.evidence, key)) continue;
      culprits.push({
        suspicion: Suspicion.culprit,
        key,
        endCount: 0,
        crashCount: 0,
        lastEndAt: record.changedAt,
        mayShareCause: false,
      });
    }
    if (culprits.length === 0) return {refused: false, isTrial: false};
    const usable = upstreams.filter(({upAt}) => upAt <= now).length;
    const isDue =
      usable > 1 &&
      culprits.every(culprit => trialAt(node, keys, culprit) <= now);
    if (!isDue) return {refused: true, isTrial: false};
    for (const {key} of culprits)
      records.set(key, {
        trials: (records.get(key)?.trials ?? 0) + 1,
        changedAt: now,
      });
    return {refused: false, isTrial: true};
  };
  const start = (
    node: number,
    keys: readonly string[],
    fatal: boolean,
    crashes: number,
  ): Run | undefined => {
    const {refused, isTrial} = judge(nodes[node], keys);
    const up = upstreams.filter(({upAt}) => upAt <= now);
    if (refused || up.length === 0) return undefined;
    const prefillMs = scenario.prefillMs * (0.3 + 0.7 * random());
    const run: Run = {
      node,
      keys,
      fatal,
      sentAt: now,
      eventAt: now + prefillMs,
      isTrial,
      crashes,
    };
    if (fatal && now >= FATAL_AT_MS) outcome.fatalSentAt.push(now);
    up[draw(up.length)].runs.push(run);
    return run;
  };
  const send = (fatal: boolean) => {
    count += 1;
    const shared = (from: number, length: number) =>
      Array.from({length}, (_, index) => `s${from + index}`);
    const segments = [
      ...shared(0, before),
      ...(fatal ? ['fatal'] : []),
      ...shared(before, after),
    ];
    const keys = [
      `request ${count} k`,
      ...listSegmentKeys({segments} as never),
    ];
    const run = start(draw(nodeCount), keys, fatal, 0);
    if (fatal) return;
    const entry = {at: now, begun: false};
    outcome.sound.push(entry);
    if (run) soundByRun.set(run, entry);
  };
  const end = (upstream: Upstream, index: number) => {
    const {runs} = upstream;
    upstream.runs = [];
    upstream.upAt = now + scenario.restartMs;
    upstream.starts += 1;
    outcome.endedAt.push(now);
    const name = `u${index}@${upstream.starts}`;
    const at = now;
    pending.push({
      at: now + PROBE_MS,
      run: () => {
        for (const {node, keys, sentAt} of runs)
          apply(nodes[node], {
            upstream: name,
            at,
            suspects: createSuspects(keys, at - sentAt),
          });
        for (const run of runs) {
          if (run.crashes + 1 >= MAX_CRASHES_OF_REQUEST) continue;
          // Only those whose caller has got nothing yet are sent again as a whole.
          start(run.node, run.keys, run.fatal, run.crashes + 1);
        }
      },
    });
  };
  const prove = (run: Run) => {
    const node = nodes[run.node];
    for (const key of run.keys)
      node.answered.set(
        key,
        Math.max(run.sentAt, node.answered.get(key) ?? -Infinity),
      );
    clearSuspects(node.evidence, run.keys, run.sentAt);
    for (const key of run.keys) {
      const record = records.get(key);
      if (!record || record.changedAt > run.sentAt) continue;
      records.delete(key);
      // Nodes take the removal of a record for the answer of its trial.
      for (const other of nodes) clearSuspects(other.evidence, [key], now);
    }
  };
  const advance = (upstream: Upstream, index: number) => {
    for (const run of [...upstream.runs]) {
      if (run.eventAt > now) continue;
      if (run.fatal && run.eventAt >= FATAL_AT_MS) return end(upstream, index);
      const entry = soundByRun.get(run);
      if (entry) entry.begun = true;
      if (run.eventAt + scenario.proofMs > now) continue;
      prove(run);
      upstream.runs = upstream.runs.filter(other => other !== run);
    }
  };
  const endMs = FATAL_AT_MS + scenario.fatalForMs;
  const isTurn = (perSecond: number) => random() * 1_000 < perSecond * STEP_MS;
  for (; now < endMs; now += STEP_MS) {
    for (const [index, upstream] of upstreams.entries())
      advance(upstream, index);
    for (const event of pending.splice(0)) {
      if (event.at <= now) event.run();
      else pending.push(event);
    }
    if (now % scenario.reportMs < STEP_MS)
      for (const node of nodes.slice(1)) exchange(node, nodes[0]);
    for (const {key, lastEndAt} of listAllCulprits(nodes[0].evidence)) {
      if (!records.has(key) && now - lastEndAt >= RECORD_DELAY_MS)
        records.set(key, {trials: 0, changedAt: now});
    }
    if (isTurn(scenario.soundPerSecond)) send(false);
    const comes = scenario.wasSound || now >= FATAL_AT_MS;
    if (comes && isTurn(scenario.fatalPerSecond)) send(true);
  }
  return outcome;
}

const scenario: fc.Arbitrary<Scenario> = fc.record({
  seed: fc.nat(1_000_000),
  nodeCount: fc.integer({min: 1, max: 9}),
  upstreamCount: fc.integer({min: 3, max: 9}),
  restartMs: fc.integer({min: 500, max: 5_000}),
  reportMs: fc.integer({min: 50, max: 400}),
  prefillMs: fc.integer({min: 20, max: 1_500}),
  proofMs: fc.integer({min: 50, max: 400}),
  soundPerSecond: fc.integer({min: 5, max: 40}),
  fatalPerSecond: fc.double({min: 0.5, max: 8, noNaN: true}),
  before: fc.integer({min: 0, max: 2}),
  after: fc.integer({min: 0, max: 2}),
  fatalForMs: fc.integer({min: 15_000, max: 40_000}),
  wasSound: fc.boolean(),
});

function countLaterSends({endedAt, fatalSentAt}: Outcome): number {
  const countFrom = (endedAt[4] ?? Infinity) + CONTACT_MS;
  return fatalSentAt.filter(at => at > countFrom).length;
}

/** Shares of sound requests that began before the disruption and late in it. */
function measureSound({endedAt, sound}: Outcome, prefillMs: number) {
  const fifthAt = endedAt[4] ?? endedAt.at(-1) ?? FATAL_AT_MS;
  const endAt = (sound.at(-1)?.at ?? 0) - prefillMs;
  const shareOf = (from: number, to: number) => {
    const sent = sound.filter(({at}) => at > from && at < to);
    const begun = sent.filter(each => each.begun).length;
    return {sent: sent.length, share: begun / sent.length};
  };
  return {
    before: shareOf(0, FATAL_AT_MS - prefillMs),
    after: shareOf(fifthAt + 2 * CONTACT_MS, endAt),
  };
}

/** Scenarios that broke a bound. */
const BROKEN: [Scenario][] = [
  // Sound requests were refused: their segment ranked before the fatal one.
  [
    {
      seed: 203_215,
      nodeCount: 1,
      upstreamCount: 3,
      restartMs: 1_951,
      reportMs: 50,
      prefillMs: 435,
      proofMs: 50,
      soundPerSecond: 6,
      fatalPerSecond: 1.9597796262148257,
      before: 0,
      after: 1,
      fatalForMs: 15_141,
      wasSound: false,
    },
  ],
  // They stayed refused: requests with the fatal segment took their trials.
  [
    {
      seed: 8,
      nodeCount: 1,
      upstreamCount: 7,
      restartMs: 500,
      reportMs: 50,
      prefillMs: 1_024,
      proofMs: 50,
      soundPerSecond: 5,
      fatalPerSecond: 7.413152886417964,
      before: 0,
      after: 1,
      fatalForMs: 15_000,
      wasSound: true,
    },
  ],
];
/** A short seeded run by default; SEGMENT_RUNS and SEGMENT_SEED draw others. */
const PARAMETERS = {
  numRuns: Number(process.env['SEGMENT_RUNS'] ?? 60),
  seed: Number(process.env['SEGMENT_SEED'] ?? 1),
  examples: BROKEN,
};

// Guards against upstreams that go on ending under requests with one segment.
test('few requests with a fatal segment reach upstreams after the fifth end', t => {
  fc.assert(
    fc.property(
      scenario,
      played => countLaterSends(play(played)) <= MAX_LATER_SENDS,
    ),
    PARAMETERS,
  );
  t.pass();
});

// Guards against the refusal of sound requests that share segments with fatal ones.
test('sound requests are served beside requests with a fatal segment', t => {
  fc.assert(
    fc.property(scenario, played => {
      const outcome = play(played);
      const {before, after} = measureSound(outcome, played.prefillMs);
      if (before.sent < 20 || after.sent < 20) return true;
      return after.share >= before.share / 2;
    }),
    PARAMETERS,
  );
  t.pass();
});
