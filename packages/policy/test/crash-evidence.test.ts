import {
  assessRequest,
  clearSuspects,
  createCrashEvidence,
  dropOldCrashes,
  mergeCrash,
  Suspicion,
  type Crash,
} from '@parsleyarch/policy/crash-evidence';
import test from 'ava';
import fc from 'fast-check';

const MINUTE_MS = 60_000;

/** An end at a time under requests that had run for 50 ms. */
function crash(at: number, keys: readonly string[], runMs = 50): Crash {
  const suspects = keys.map(
    (key, index) =>
      [
        key,
        {
          runMs,
          specificity: keys.length - index,
          cleared: false,
          answered: false,
        },
      ] as const,
  );
  return {upstream: `u@${at}`, at, suspects: new Map(suspects)};
}

function evidenceOf(crashes: Iterable<Crash>) {
  const evidence = createCrashEvidence();
  for (const each of crashes) mergeCrash(evidence, each);
  return evidence;
}

const suspicionOf = (
  evidence: ReturnType<typeof createCrashEvidence>,
  key: string,
) => assessRequest(evidence, [key]).suspicion;

test('a request is refused after three ends without an answer', t => {
  const evidence = evidenceOf([crash(100, ['a', 'b']), crash(200, ['a'])]);
  t.is(suspicionOf(evidence, 'a'), Suspicion.suspect);
  t.is(suspicionOf(evidence, 'c'), Suspicion.none);
  mergeCrash(evidence, crash(300, ['a']));
  t.is(suspicionOf(evidence, 'a'), Suspicion.culprit);
  t.is(suspicionOf(evidence, 'b'), Suspicion.none);
});

test('a request that was answered starts anew', t => {
  const evidence = evidenceOf([crash(100, ['a']), crash(200, ['a'])]);
  clearSuspects(evidence, ['a'], 250);
  t.is(suspicionOf(evidence, 'a'), Suspicion.none);
  mergeCrash(evidence, crash(300, ['a']));
  mergeCrash(evidence, crash(400, ['a']));
  t.is(suspicionOf(evidence, 'a'), Suspicion.suspect);
});

const SIMULTANEOUS = [1_000, 1_010, 1_030, 1_040, 1_045];

test('upstreams that end while requests with a segment run on all of them count once', t => {
  const key = 'segment a';
  const evidence = evidenceOf(SIMULTANEOUS.map(at => crash(at, [key], 500)));
  t.not(suspicionOf(evidence, key), Suspicion.culprit);
});

test('upstreams that end while copies of a request run on all of them count each', t => {
  const evidence = evidenceOf(SIMULTANEOUS.map(at => crash(at, ['a'], 500)));
  const assessment = assessRequest(evidence, ['a']);
  t.is(assessment.suspicion, Suspicion.culprit);
  t.is(assessment.endCount, SIMULTANEOUS.length);
  t.true(assessment.mayShareCause);
});

test('upstreams that end one after the other count each, though the runs overlap', t => {
  const times = [1_000, 1_200, 1_400];
  for (const key of ['a', 'segment a']) {
    const evidence = evidenceOf(times.map(at => crash(at, [key], 900)));
    t.is(suspicionOf(evidence, key), Suspicion.culprit);
    t.false(assessRequest(evidence, [key]).mayShareCause);
  }
});

test('of two that were in the same ends the more specific one is the culprit', t => {
  const evidence = evidenceOf(
    [1, 2, 3, 4].map(index => crash(index * 100, ['narrow', 'wide'])),
  );
  t.is(suspicionOf(evidence, 'narrow'), Suspicion.culprit);
  t.not(suspicionOf(evidence, 'wide'), Suspicion.culprit);
});

test('what several others have in common is the culprit if each was in few ends', t => {
  const evidence = evidenceOf(
    [1, 2, 3, 4].map(index => crash(index * 100, [`n${index}`, 'wide'])),
  );
  t.is(suspicionOf(evidence, 'wide'), Suspicion.culprit);
  t.is(suspicionOf(evidence, 'n1'), Suspicion.none);
});

test('a request that its caller repeats does not hide the segment that it shares', t => {
  const requests = ['r1', 'r1', 'r1', 'r2', 'r3'];
  const crashes = requests.map((request, index) =>
    crash(index * 100, [request, 'segment', `first ${index}`]),
  );
  t.is(suspicionOf(evidenceOf(crashes.slice(0, 3)), 'r1'), Suspicion.culprit);
  t.is(suspicionOf(evidenceOf(crashes), 'segment'), Suspicion.culprit);
});

test('one end more does not make a segment that sound requests share the culprit', t => {
  const crashes = [1, 2, 3, 4].map(index =>
    crash(index * 100, [`r${index}`, 'fatal', 'shared']),
  );
  const evidence = evidenceOf([...crashes, crash(900, ['r9', 'b', 'shared'])]);
  t.is(suspicionOf(evidence, 'fatal'), Suspicion.culprit);
  t.not(suspicionOf(evidence, 'shared'), Suspicion.culprit);
});

const DEEP = 'segment deep';
const WIDE = 'segment wide';

// Guards against the refusal of sound requests that share a segment with fatal ones.
test('of two segments in the same ends the culprit is the one that was never answered', t => {
  for (const [fatal, sound] of [
    [DEEP, WIDE],
    [WIDE, DEEP],
  ]) {
    const crashes = [1, 2, 3].map(at => crash(at * 100, [DEEP, WIDE]));
    const evidence = evidenceOf([...crashes, crash(900, [sound])]);
    clearSuspects(evidence, [sound], 50);
    t.is(suspicionOf(evidence, fatal), Suspicion.culprit);
    t.not(suspicionOf(evidence, sound), Suspicion.culprit);
  }
});

test('a segment that was answered before is the culprit if no other one explains its ends', t => {
  const crashes = [1, 2, 3].map(at => crash(at * 100, [DEEP, WIDE]));
  const others = [4, 5].map(at => crash(at * 100, [WIDE]));
  const evidence = evidenceOf([...crashes, ...others]);
  clearSuspects(evidence, [WIDE], 50);
  t.is(suspicionOf(evidence, WIDE), Suspicion.culprit);
});

test('an answer clears only the ends before its send began', t => {
  const evidence = evidenceOf(
    [1, 2, 3, 4, 5, 6].map(index => crash(index * 100, ['a'])),
  );
  clearSuspects(evidence, ['a'], 350);
  t.is(suspicionOf(evidence, 'a'), Suspicion.culprit);
  clearSuspects(evidence, ['a'], 450);
  t.not(suspicionOf(evidence, 'a'), Suspicion.culprit);
});

test('evidence ends some time after the last end', t => {
  const evidence = evidenceOf([1, 2, 3].map(index => crash(index, ['a'], 0)));
  dropOldCrashes(evidence, MINUTE_MS);
  t.is(suspicionOf(evidence, 'a'), Suspicion.culprit);
  dropOldCrashes(evidence, 11 * MINUTE_MS);
  t.is(suspicionOf(evidence, 'a'), Suspicion.none);
  t.is(evidence.digest, 0);
});

test('the number of ends and of suspects is bounded', t => {
  const keys = Array.from({length: 2_000}, (_, index) => `k${index}`);
  const evidence = evidenceOf(
    keys.map((_, index) => crash(index, index === 0 ? [] : [`k${index}`])),
  );
  dropOldCrashes(evidence, keys.length);
  t.true(evidence.crashes.size <= 64);
  mergeCrash(evidence, crash(5_000, keys));
  t.true(evidence.crashes.get('u@5000')!.suspects.size <= 256);
});

const suspect = fc.record({
  runMs: fc.integer({min: 0, max: 500}),
  specificity: fc.integer({min: 1, max: 4}),
  cleared: fc.boolean(),
  answered: fc.boolean(),
});
const anyCrash = fc.record({
  upstream: fc.constantFrom('u1@1', 'u2@1', 'u3@1'),
  at: fc.integer({min: 0, max: 1_000}),
  suspects: fc
    .dictionary(fc.constantFrom('a', 'b', 'c'), suspect)
    .map(suspects => new Map(Object.entries(suspects))),
});

const contentOf = ({crashes}: ReturnType<typeof createCrashEvidence>) =>
  Object.fromEntries(
    [...crashes].map(([upstream, {at, suspects}]) => [
      upstream,
      {at, suspects: Object.fromEntries(suspects)},
    ]),
  );

test('evidence is the same in whatever order it is merged, and how often', t => {
  fc.assert(
    fc.property(
      fc.array(anyCrash, {maxLength: 8}),
      fc.array(fc.nat(7)),
      (crashes, again) => {
        const repeated = again.flatMap(index => crashes[index] ?? []);
        const first = evidenceOf(crashes);
        const second = evidenceOf([...crashes].reverse().concat(repeated));
        t.deepEqual(contentOf(first), contentOf(second));
        return first.digest === second.digest;
      },
    ),
  );
});

// Guards against nodes that exchange the suspects of a large crash without end.
test('nodes that hear of too many suspects in different orders keep the same ones', t => {
  const requests = Array.from({length: 300}, (_, index) =>
    crash(1_000, [`request ${index} k`, `segment s${index % 7}`]),
  );
  const [first, second] = [requests, [...requests].reverse()].map(evidenceOf);
  t.is(first.digest, second.digest);
  t.deepEqual(contentOf(first), contentOf(second));
  for (const [one, other] of [
    [first, second],
    [second, first],
  ]) {
    const {digest} = one;
    for (const each of other.crashes.values()) mergeCrash(one, each);
    t.is(one.digest, digest);
  }
  const [kept] = first.crashes.values();
  t.is(kept.suspects.size, 256);
  for (let index = 0; index < 7; index += 1)
    t.true(kept.suspects.has(`segment s${index}`));
});

test('evidence that differs has another digest', t => {
  fc.assert(
    fc.property(anyCrash, fc.constantFrom('a', 'b', 'c'), (one, key) => {
      const evidence = evidenceOf([one]);
      const {digest} = evidence;
      const changed = one.suspects.get(key)?.cleared === false;
      clearSuspects(evidence, [key], Infinity);
      return changed ? evidence.digest !== digest : evidence.digest === digest;
    }),
  );
  t.pass();
});

test('a crash without suspects changes the digest, so that other nodes learn of it', t => {
  const evidence = evidenceOf([]);
  const {digest} = evidence;
  mergeCrash(evidence, crash(1_000, []));
  t.not(evidence.digest, digest);
  dropOldCrashes(evidence, Infinity);
  t.is(evidence.digest, digest);
});

test('whatever sound requests run beside it, only the culprit is refused', t => {
  const sound = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e'));
  fc.assert(
    fc.property(fc.array(sound, {minLength: 3, maxLength: 12}), beside => {
      const evidence = createCrashEvidence();
      for (const [index, keys] of beside.entries()) {
        mergeCrash(evidence, crash(index * 1_000, ['culprit', ...keys]));
        // Sound requests are answered at another upstream.
        clearSuspects(evidence, keys, index * 1_000 + 500);
      }
      return (
        suspicionOf(evidence, 'culprit') === Suspicion.culprit &&
        beside.flat().every(key => suspicionOf(evidence, key) === 'none')
      );
    }),
  );
  t.pass();
});
