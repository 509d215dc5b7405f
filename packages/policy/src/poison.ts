/**
 * Detects poison requests, which crash every upstream that runs them. After a
 * crash all requests that ran on the upstream are suspects. Each is retried
 * apart from other suspects, so that a second crash identifies exactly one
 * request as poison. Pure functions only.
 */

/** A crash as observed by one node. */
export interface Crash {
  readonly upstream: string;
  /** Incarnation of the upstream that crashed. */
  readonly incarnation: number;
  /** Fingerprints of the requests that this node ran there. */
  readonly fingerprints: readonly string[];
  /** Fingerprints among them that were already suspects when they were sent. */
  readonly suspects: readonly string[];
}

/** Suspects and crashes that a node knows; times are monotonic milliseconds. */
export interface PoisonState {
  /** Expiry time of each suspicion, by fingerprint. */
  readonly suspectExpiries: ReadonlyMap<string, number>;
  /** Suspects of all nodes in each crash, by `upstream@incarnation`. */
  readonly crashes: ReadonlyMap<string, CrashRecord>;
}

interface CrashRecord {
  readonly suspects: ReadonlySet<string>;
  readonly expiresAt: number;
}

/** Time for which a suspect or poison status lasts without new crashes. */
export const POISON_RETENTION_MS = 3_600_000;

export const EMPTY_POISON_STATE: PoisonState = {
  suspectExpiries: new Map(),
  crashes: new Map(),
};

function addCrash(
  state: PoisonState,
  crash: Crash,
  now: number,
): {crashes: Map<string, CrashRecord>; record: CrashRecord} {
  const key = `${crash.upstream}@${crash.incarnation}`;
  const knownSuspects = state.crashes.get(key)?.suspects ?? [];
  const record = {
    suspects: new Set([...knownSuspects, ...crash.suspects]),
    expiresAt: now + POISON_RETENTION_MS,
  };
  const crashes = new Map(
    [...state.crashes].filter(([, {expiresAt}]) => expiresAt > now),
  );
  return {crashes: crashes.set(key, record), record};
}

/**
 * Records a crash as observed by one node. A crash with exactly one suspect
 * confirms it as poison, unless another node reports a second suspect later,
 * and adds no suspicion to the other requests. Any other crash makes all
 * requests suspects.
 */
export function recordCrash(
  state: PoisonState,
  crash: Crash,
  now: number,
): PoisonState {
  const {crashes, record} = addCrash(state, crash, now);
  if (record.suspects.size === 1) return {...state, crashes};
  const suspectExpiries = new Map(
    [...state.suspectExpiries].filter(([, expiresAt]) => expiresAt > now),
  );
  for (const fingerprint of [...crash.fingerprints, ...record.suspects])
    suspectExpiries.set(fingerprint, record.expiresAt);
  return {suspectExpiries, crashes};
}

function isConfirmed(
  state: PoisonState,
  fingerprint: string,
  now: number,
): boolean {
  for (const {suspects, expiresAt} of state.crashes.values()) {
    if (expiresAt <= now || suspects.size !== 1) continue;
    if (suspects.has(fingerprint)) return true;
  }
  return false;
}

/** Clears a suspect that has completed. */
export function clearSuspect(
  state: PoisonState,
  fingerprint: string,
): PoisonState {
  if (!state.suspectExpiries.has(fingerprint)) return state;
  const suspectExpiries = new Map(state.suspectExpiries);
  suspectExpiries.delete(fingerprint);
  return {...state, suspectExpiries};
}

export const PoisonStatus = {
  clear: 'clear',
  /** May run only where no other suspect runs. */
  suspect: 'suspect',
  /** Must be rejected. */
  confirmed: 'confirmed',
} as const;
export type PoisonStatus = (typeof PoisonStatus)[keyof typeof PoisonStatus];

export function getPoisonStatus(
  state: PoisonState,
  fingerprint: string,
  now: number,
): PoisonStatus {
  if (isConfirmed(state, fingerprint, now)) return PoisonStatus.confirmed;
  if ((state.suspectExpiries.get(fingerprint) ?? 0) > now)
    return PoisonStatus.suspect;
  return PoisonStatus.clear;
}
