/**
 * Finds requests that end every upstream which runs them. All requests that an
 * upstream served when it ended are suspects, on whichever node they were. A
 * suspect that is answered later is cleared; one that was in several ends and in no
 * answer since is the culprit, and is refused for some time. Evidence of several
 * nodes merges in any order to the same state: a crash is counted once for an
 * incarnation of an upstream. Meant for any load; its size grows with crashes, not
 * with requests or nodes.
 */
import {hashName} from './rendezvous.js';

/** Number of ends without an answer from which a suspect is refused. */
const CULPRIT_CRASH_COUNT = 3;
/** Time for which a culprit is refused after its latest end; doubles with each. */
const MIN_REFUSAL_MS = 30_000;
/** Time for which an end is remembered. */
const RETENTION_MS = 600_000;
/** Number of ends that are remembered; the oldest are dropped. */
const MAX_CRASH_COUNT = 64;
/** Number of suspects of one end; further ones are ignored. */
const MAX_SUSPECT_COUNT = 256;

/** What a crash tells of a suspect. */
export interface Suspect {
  /** Time that it had run there, milliseconds; that of the shortest run. */
  readonly runMs: number;
  /** Whether an upstream has answered it since. */
  readonly cleared: boolean;
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
  /** Equal for evidence with the same crashes, suspects and clearances. */
  digest: number;
}

export function createCrashEvidence(): CrashEvidence {
  return {crashes: new Map(), digest: 0};
}

function hashSuspect(
  {upstream}: Crash,
  key: string,
  {runMs, cleared}: Suspect,
): number {
  return hashName(`${upstream} ${key} ${runMs} ${cleared}`);
}

function mergeSuspect(
  evidence: CrashEvidence,
  crash: KnownCrash,
  key: string,
  suspect: Suspect,
): void {
  const {suspects} = crash;
  const known = suspects.get(key);
  if (!known && suspects.size >= MAX_SUSPECT_COUNT) return;
  const merged = {
    runMs: Math.min(known?.runMs ?? Infinity, Math.round(suspect.runMs)),
    cleared: suspect.cleared || (known?.cleared ?? false),
  };
  if (known) evidence.digest ^= hashSuspect(crash, key, known);
  evidence.digest ^= hashSuspect(crash, key, merged);
  suspects.set(key, merged);
}

function dropCrash(evidence: CrashEvidence, crash: KnownCrash): void {
  for (const [key, suspect] of crash.suspects)
    evidence.digest ^= hashSuspect(crash, key, suspect);
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
  const known = evidence.crashes.get(upstream) ?? {
    upstream,
    at,
    suspects: new Map<string, Suspect>(),
  };
  known.at = Math.min(known.at, at);
  evidence.crashes.set(upstream, known);
  for (const [key, suspect] of suspects)
    mergeSuspect(evidence, known, key, suspect);
}

/** Clears suspects of all known crashes, as an upstream has answered them. */
export function clearSuspects(
  evidence: CrashEvidence,
  keys: readonly string[],
): void {
  for (const crash of evidence.crashes.values()) {
    for (const key of keys) {
      const known = crash.suspects.get(key);
      if (known && !known.cleared)
        mergeSuspect(evidence, crash, key, {...known, cleared: true});
    }
  }
}

/**
 * Times at which upstreams ended under a suspect, in order. Only runs that began
 * after the end before are counted: upstreams that end while a suspect runs on all
 * of them may have a common cause, such as a loss of power.
 */
function listEnds({crashes}: CrashEvidence, key: string): number[] {
  const runs: {readonly begun: number; readonly at: number}[] = [];
  for (const {at, suspects} of crashes.values()) {
    const suspect = suspects.get(key);
    if (suspect && !suspect.cleared) runs.push({begun: at - suspect.runMs, at});
  }
  runs.sort((a, b) => a.at - b.at);
  const ends: number[] = [];
  for (const {begun, at} of runs) {
    if (begun > (ends.at(-1) ?? -Infinity)) ends.push(at);
  }
  return ends;
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
  /** When a culprit may be tried again, monotonic milliseconds. */
  readonly refusedUntil: number;
}

const NO_SUSPICION: Assessment = {
  suspicion: Suspicion.none,
  key: '',
  refusedUntil: -Infinity,
};

function assessKey(evidence: CrashEvidence, key: string): Assessment {
  const ends = listEnds(evidence, key);
  const last = ends.at(-1);
  if (last === undefined) return NO_SUSPICION;
  if (ends.length < CULPRIT_CRASH_COUNT)
    return {suspicion: Suspicion.suspect, key, refusedUntil: -Infinity};
  const refusalMs = MIN_REFUSAL_MS * 2 ** (ends.length - CULPRIT_CRASH_COUNT);
  const refusedUntil = last + refusalMs;
  return {suspicion: Suspicion.culprit, key, refusedUntil};
}

/** Assesses a request by its keys, the narrowest one first. */
export function assessRequest(
  evidence: CrashEvidence,
  keys: readonly string[],
): Assessment {
  let found = NO_SUSPICION;
  for (const key of keys) {
    const assessment = assessKey(evidence, key);
    if (assessment.suspicion === Suspicion.culprit) return assessment;
    if (found.suspicion === Suspicion.none) found = assessment;
  }
  return found;
}
