/**
 * Finds requests that end every upstream which runs them, or what such requests
 * have in common: a segment of their prompts. All requests that an upstream served
 * when it ended are suspects, with their segments, on whichever node they were. A
 * suspect that is answered when sent again is cleared; one that was in several ends and
 * in no such answer since is a culprit, and is refused (see `crash-trials.ts`). Of
 * suspects that were in nearly the same ends the culprit is one that was never answered,
 * and the most specific one if that does not tell.
 * Evidence of several nodes merges in any order to the same state: a crash is counted
 * once for an incarnation of an upstream. Meant for any load; its size grows with
 * crashes, not with requests or nodes.
 */
import {isSharedKey, subjectOf} from './crash-keys.js';
import {hashName} from './rendezvous.js';

/** Number of ends without an answer from which a suspect is refused. */
const CULPRIT_CRASH_COUNT = 3;
/** The same from which it is sent only to one upstream. */
const SUSPECT_CRASH_COUNT = 2;
/** Ends beside those that a culprit explains which may have another cause. */
const MAX_UNRELATED_CRASH_COUNT = 1;
/** Longest time between two ends that may have a common cause. */
const COMMON_CAUSE_MS = 50;
/** Time for which an end is remembered. */
const RETENTION_MS = 600_000;
/** Number of ends that are remembered; the oldest are dropped. */
const MAX_CRASH_COUNT = 64;
/** Number of suspects of one end that are kept. */
const MAX_SUSPECT_COUNT = 256;

/** What a crash tells of a suspect. */
export interface Suspect {
  /** Time that it had run there, milliseconds; that of the shortest run. */
  readonly runMs: number;
  /** Higher for suspects that fewer requests share. */
  readonly specificity: number;
  /** Whether an upstream has answered a send of it that began later. */
  readonly cleared: boolean;
  /** Whether one has ever answered a send of it; known for what requests share. */
  readonly answered: boolean;
}

/** The end of an upstream while it served requests. */
export interface Crash {
  /** Incarnation of the upstream. */
  readonly upstream: string;
  /** When a node first noticed it, monotonic milliseconds. */
  readonly at: number;
  /** Suspects by key. */
  readonly suspects: ReadonlyMap<string, Suspect>;
}

interface KnownCrash extends Crash {
  at: number;
  readonly suspects: Map<string, Suspect>;
}

/** Crashes that a node knows of. */
export interface CrashEvidence {
  readonly crashes: Map<string, KnownCrash>;
  /** Culprits by key, and the digest of the evidence that they follow from. */
  culprits?: {
    readonly digest: number;
    readonly assessments: ReadonlyMap<string, Assessment>;
  };
  /** Equal for evidence with the same crashes, suspects and clearances. */
  digest: number;
}

export function createCrashEvidence(): CrashEvidence {
  return {crashes: new Map(), digest: 0};
}

/** Suspects of one request, by its keys in order of specificity. */
export function createSuspects(
  keys: readonly string[],
  runMs: number,
): Map<string, Suspect> {
  const shared = keys.filter(isSharedKey);
  const specificityOf = (key: string) =>
    isSharedKey(key) ? shared.length - shared.indexOf(key) : shared.length + 1;
  return new Map(
    keys.map(key => [
      key,
      {runMs, specificity: specificityOf(key), cleared: false, answered: false},
    ]),
  );
}

function hashSuspect(
  {upstream}: Crash,
  key: string,
  {runMs, specificity, cleared, answered}: Suspect,
): number {
  const text = `${upstream} ${key} ${runMs} ${specificity} ${cleared}`;
  // Nodes of an earlier release know no answers, and hash the rest like this.
  return hashName(answered ? `${text} answered` : text);
}

/** Segments rank first, as they may have ended several upstreams. */
function isKeptBefore(key: string, other: string): boolean {
  const isShared = isSharedKey(key);
  return isShared === isSharedKey(other) ? key < other : isShared;
}

/**
 * Makes room for a suspect of a crash that has as many as are kept. Which ones are does
 * not depend on the order in which nodes hear of them, or their evidence would never be
 * the same. Returns whether there is room.
 */
function makeRoom(
  evidence: CrashEvidence,
  crash: KnownCrash,
  key: string,
): boolean {
  const {suspects} = crash;
  if (suspects.size < MAX_SUSPECT_COUNT) return true;
  let last = key;
  for (const other of suspects.keys()) {
    if (isKeptBefore(last, other)) last = other;
  }
  if (last === key) return false;
  evidence.digest ^= hashSuspect(crash, last, suspects.get(last)!);
  suspects.delete(last);
  return true;
}

function mergeSuspect(
  evidence: CrashEvidence,
  crash: KnownCrash,
  key: string,
  suspect: Suspect,
): void {
  const {suspects} = crash;
  const known = suspects.get(key);
  if (!known && !makeRoom(evidence, crash, key)) return;
  const merged = {
    runMs: Math.min(known?.runMs ?? Infinity, Math.round(suspect.runMs)),
    specificity: Math.max(known?.specificity ?? 0, suspect.specificity),
    cleared: suspect.cleared || (known?.cleared ?? false),
    answered: suspect.answered || (known?.answered ?? false),
  };
  if (known) evidence.digest ^= hashSuspect(crash, key, known);
  evidence.digest ^= hashSuspect(crash, key, merged);
  suspects.set(key, merged);
}

function dropCrash(evidence: CrashEvidence, crash: KnownCrash): void {
  for (const [key, suspect] of crash.suspects)
    evidence.digest ^= hashSuspect(crash, key, suspect);
  evidence.digest ^= hashName(crash.upstream);
  evidence.crashes.delete(crash.upstream);
}

/** Forgets old crashes, and the oldest ones if there are too many. */
export function dropOldCrashes(evidence: CrashEvidence, now: number): void {
  const oldestFirst = [...evidence.crashes.values()].sort(
    (a, b) => a.at - b.at,
  );
  for (const crash of oldestFirst) {
    const isOld = crash.at < now - RETENTION_MS;
    if (!isOld && evidence.crashes.size <= MAX_CRASH_COUNT) return;
    dropCrash(evidence, crash);
  }
}

/** Adds what one or more nodes know of a crash. */
export function mergeCrash(evidence: CrashEvidence, crash: Crash): void {
  const {upstream, at, suspects} = crash;
  let known = evidence.crashes.get(upstream);
  if (!known) {
    known = {upstream, at, suspects: new Map()};
    evidence.crashes.set(upstream, known);
    // Nodes that gave up sends to the upstream may know the suspects.
    evidence.digest ^= hashName(upstream);
  }
  known.at = Math.min(known.at, at);
  for (const [key, suspect] of suspects)
    mergeSuspect(evidence, known, key, suspect);
}

/**
 * Clears suspects of the crashes before a time, as a send that began then was
 * answered. An answer to an earlier send is no proof, as the upstreams may have
 * changed since, but counts against suspects that were never answered. Returns the
 * keys that were cleared.
 */
export function clearSuspects(
  evidence: CrashEvidence,
  keys: Iterable<string>,
  sentAt: number,
): string[] {
  const cleared = new Set<string>();
  for (const key of keys) {
    for (const crash of evidence.crashes.values()) {
      const known = crash.suspects.get(key);
      if (!known) continue;
      const isCleared = known.cleared || crash.at < sentAt;
      const answered = known.answered || isSharedKey(key);
      if (isCleared === known.cleared && answered === known.answered) continue;
      const suspect = {...known, cleared: isCleared, answered};
      mergeSuspect(evidence, crash, key, suspect);
      if (isCleared && !known.cleared) cleared.add(key);
    }
  }
  return [...cleared];
}

/** Crashes in which a suspect was not cleared, the earliest one first. */
function listCrashes({crashes}: CrashEvidence, key: string): KnownCrash[] {
  return [...crashes.values()]
    .filter(({suspects}) => suspects.get(key)?.cleared === false)
    .sort((a, b) => a.at - b.at);
}

/**
 * Times of crashes, where upstreams that end at nearly the same time while a suspect
 * runs on all of them count once: they may have a common cause, such as a loss of power.
 */
function listSeparateEnds(
  crashes: readonly KnownCrash[],
  key: string,
): number[] {
  const ends: number[] = [];
  for (const {at, suspects} of crashes) {
    const begun = at - (suspects.get(key)?.runMs ?? 0);
    const last = ends.at(-1) ?? -Infinity;
    if (begun > last || at - last > COMMON_CAUSE_MS) ends.push(at);
  }
  return ends;
}

/**
 * Times of crashes that count for a suspect. What many requests share runs on all
 * upstreams at any time, so only separate ends count for it. Copies of one request do
 * so only if its caller sends them together; each end counts, and a culprit whose ends
 * may have a common cause is tried again at once.
 */
function countedEnds(crashes: readonly KnownCrash[], key: string): number[] {
  return isSharedKey(key)
    ? listSeparateEnds(crashes, key)
    : crashes.map(({at}) => at);
}

/**
 * Whether a suspect that had ended enough upstreams for a culprit has been answered since
 * the last of them.
 */
export function isReleased({crashes}: CrashEvidence, key: string): boolean {
  const suspects = [...crashes.values()].flatMap(
    crash => crash.suspects.get(key) ?? [],
  );
  if (suspects.length < CULPRIT_CRASH_COUNT) return false;
  return suspects.every(({cleared}) => cleared);
}

export const Suspicion = {
  none: 'none',
  /** Is sent only where its next end does the least harm. */
  suspect: 'suspect',
  /** Is refused. */
  culprit: 'culprit',
} as const;
export type Suspicion = (typeof Suspicion)[keyof typeof Suspicion];

/** What the evidence says of a request. */
export interface Assessment {
  readonly suspicion: Suspicion;
  /** The key that is under suspicion; empty if none is. */
  readonly key: string;
  /** Ends that count for the key. */
  readonly endCount: number;
  /** Ends in which it was, whether or not they count. */
  readonly crashCount: number;
  /** When the latest of them was noticed, monotonic milliseconds. */
  readonly lastEndAt: number;
  /** Whether a common cause may explain so many of the ends that it is no culprit. */
  readonly mayShareCause: boolean;
}

const NO_SUSPICION: Assessment = {
  suspicion: Suspicion.none,
  key: '',
  endCount: 0,
  crashCount: 0,
  lastEndAt: -Infinity,
  mayShareCause: false,
};

/** A suspect with the crashes in which it was not cleared. */
interface Candidate {
  readonly key: string;
  readonly specificity: number;
  readonly crashes: readonly KnownCrash[];
  readonly ends: readonly number[];
  readonly answered: boolean;
}

/** Suspects that were in enough crashes for a culprit, whether or not they all count. */
function listCandidates(evidence: CrashEvidence): Candidate[] {
  const found = new Map<string, {specificity: number; crashCount: number}>();
  for (const {suspects} of evidence.crashes.values()) {
    for (const [key, {specificity, cleared}] of suspects) {
      if (cleared) continue;
      const crashCount = (found.get(key)?.crashCount ?? 0) + 1;
      found.set(key, {specificity, crashCount});
    }
  }
  // Most suspects were in one crash; listing the crashes of each takes long.
  const candidates = [...found].filter(
    ([, {crashCount}]) => crashCount >= CULPRIT_CRASH_COUNT,
  );
  return candidates.map(([key, {specificity}]) => {
    const crashes = listCrashes(evidence, key);
    const ends = countedEnds(crashes, key);
    const answered = crashes.some(
      ({suspects}) => suspects.get(key)?.answered ?? false,
    );
    return {key, specificity, crashes, ends, answered};
  });
}

/**
 * Orders candidates by how well they explain the crashes. One that more requests
 * share has to be in more ends, for each step by one: sound requests that share
 * segments with a culprit are in flight when it ends an upstream.
 */
function byExplanation(a: Candidate, b: Candidate): number {
  const scoreOf = ({ends, specificity}: Candidate) => ends.length + specificity;
  return scoreOf(b) - scoreOf(a) || b.specificity - a.specificity;
}

/**
 * Whether a segment that was answered before is probably innocent: another one that
 * never was explains all of the crashes, or all but one.
 */
function isOutweighed(
  {key, answered}: Candidate,
  unexplained: readonly KnownCrash[],
  candidates: readonly Candidate[],
): boolean {
  if (!answered || !isSharedKey(key)) return false;
  return candidates.some(other => {
    if (other.answered || !isSharedKey(other.key)) return false;
    const explained = new Set(other.crashes);
    const rest = unexplained.filter(crash => !explained.has(crash));
    return rest.length <= MAX_UNRELATED_CRASH_COUNT;
  });
}

/**
 * Culprits by key. A crash that one of them explains counts for no other one, but for
 * the same request under another identity of its caller.
 */
function findCulprits(
  evidence: CrashEvidence,
): ReadonlyMap<string, Assessment> {
  const {digest, culprits} = evidence;
  if (culprits?.digest === digest) return culprits.assessments;
  const assessments = new Map<string, Assessment>();
  const explanations = new Map<KnownCrash, string>();
  const candidates = listCandidates(evidence)
    .filter(({ends}) => ends.length >= CULPRIT_CRASH_COUNT)
    .sort(byExplanation);
  for (const candidate of candidates) {
    const {key, crashes, ends} = candidate;
    const subject = subjectOf(key);
    const unexplained = crashes.filter(
      crash => (explanations.get(crash) ?? subject) === subject,
    );
    if (countedEnds(unexplained, key).length < CULPRIT_CRASH_COUNT) continue;
    if (isOutweighed(candidate, unexplained, candidates)) continue;
    const separateCount = listSeparateEnds(crashes, key).length;
    assessments.set(key, {
      suspicion: Suspicion.culprit,
      key,
      endCount: ends.length,
      crashCount: crashes.length,
      lastEndAt: ends.at(-1) ?? -Infinity,
      mayShareCause: separateCount < CULPRIT_CRASH_COUNT,
    });
    for (const crash of crashes) explanations.set(crash, subject);
  }
  evidence.culprits = {digest, assessments};
  return assessments;
}

/** Assessments of all culprits. */
export function listAllCulprits(evidence: CrashEvidence): Assessment[] {
  return evidence.crashes.size > 0 ? [...findCulprits(evidence).values()] : [];
}

/** What the end of an upstream under a request would tell of a culprit. */
export const TrialValue = {
  /** No other segment was in all of the former ends. */
  conclusive: 'conclusive',
  /** Others were, and the request lacks one of them. */
  telling: 'telling',
  /** It has all of them. */
  none: 'none',
} as const;
export type TrialValue = (typeof TrialValue)[keyof typeof TrialValue];

/** What a trial of a culprit by a request would tell. */
export function valueTrial(
  evidence: CrashEvidence,
  keys: readonly string[],
  culprit: string,
): TrialValue {
  const [first, ...others] = listCrashes(evidence, culprit);
  if (!first || !isSharedKey(culprit)) return TrialValue.conclusive;
  const common = [...first.suspects.keys()].filter(
    key =>
      isSharedKey(key) &&
      others.every(({suspects}) => suspects.get(key)?.cleared === false),
  );
  if (common.length === 1) return TrialValue.conclusive;
  const lacksOne = common.some(key => !keys.includes(key));
  return lacksOne ? TrialValue.telling : TrialValue.none;
}

/** Assessments of those keys of a request that are culprits, in their order. */
export function listCulprits(
  evidence: CrashEvidence,
  keys: readonly string[],
): Assessment[] {
  const culprits = findCulprits(evidence);
  return keys.flatMap(key => culprits.get(key) ?? []);
}

/** Assesses a request by its keys, the most specific one first. */
export function assessRequest(
  evidence: CrashEvidence,
  keys: readonly string[],
): Assessment {
  const [culprit] = listCulprits(evidence, keys);
  if (culprit) return culprit;
  for (const key of keys) {
    const crashes = listCrashes(evidence, key);
    const ends = countedEnds(crashes, key);
    if (ends.length < SUSPECT_CRASH_COUNT) continue;
    return {
      suspicion: Suspicion.suspect,
      key,
      endCount: ends.length,
      crashCount: crashes.length,
      lastEndAt: ends.at(-1) ?? -Infinity,
      mayShareCause: false,
    };
  }
  return NO_SUSPICION;
}
