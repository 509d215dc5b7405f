/**
 * Requests that crash every upstream that runs them. After a crash all
 * requests that ran there are suspects; each is tried again apart from other
 * suspects, so that a second crash convicts exactly one. Pure functions only.
 */

/** One crash as one node saw it. */
export interface Crash {
  readonly upstream: string;
  /** Start of the upstream that crashed. */
  readonly incarnation: number;
  /** Fingerprints of requests that ran there, by this node. */
  readonly fingerprints: readonly string[];
  /** Those among them that were suspects already when they were sent. */
  readonly suspects: readonly string[];
}

/** What a node knows of poison requests; times are monotonic milliseconds. */
export interface PoisonBook {
  /** When each suspect may be forgotten. */
  readonly suspicions: ReadonlyMap<string, number>;
  /** Suspects that ran in each crash, over all nodes. */
  readonly crashes: ReadonlyMap<string, CrashRecord>;
}

interface CrashRecord {
  readonly suspects: ReadonlySet<string>;
  readonly until: number;
}

/** How long a suspicion or a conviction lasts without new crashes. */
export const POISON_MEMORY_MS = 3_600_000;

/** A book without suspects. */
export const EMPTY_BOOK: PoisonBook = {
  suspicions: new Map(),
  crashes: new Map(),
};

function withCrash(
  book: PoisonBook,
  crash: Crash,
  now: number,
): {crashes: Map<string, CrashRecord>; record: CrashRecord} {
  const key = `${crash.upstream}@${crash.incarnation}`;
  const known = book.crashes.get(key)?.suspects ?? [];
  const record = {
    suspects: new Set([...known, ...crash.suspects]),
    until: now + POISON_MEMORY_MS,
  };
  const crashes = new Map(
    [...book.crashes].filter(([, {until}]) => until > now),
  );
  return {crashes: crashes.set(key, record), record};
}

/**
 * Enters one node's view of a crash. A crash with one suspect convicts it, for
 * as long as no other node names a second, and casts no suspicion on those
 * beside it; any other crash makes suspects of all.
 */
export function recordCrash(
  book: PoisonBook,
  crash: Crash,
  now: number,
): PoisonBook {
  const {crashes, record} = withCrash(book, crash, now);
  if (record.suspects.size === 1) return {...book, crashes};
  const suspicions = new Map(
    [...book.suspicions].filter(([, until]) => until > now),
  );
  for (const fingerprint of [...crash.fingerprints, ...record.suspects])
    suspicions.set(fingerprint, record.until);
  return {suspicions, crashes};
}

function isConvicted(
  book: PoisonBook,
  fingerprint: string,
  now: number,
): boolean {
  for (const {suspects, until} of book.crashes.values()) {
    if (until <= now || suspects.size !== 1) continue;
    if (suspects.has(fingerprint)) return true;
  }
  return false;
}

/** Clears a suspect that has run to its end. */
export function recordSurvival(
  book: PoisonBook,
  fingerprint: string,
): PoisonBook {
  if (!book.suspicions.has(fingerprint)) return book;
  const suspicions = new Map(book.suspicions);
  suspicions.delete(fingerprint);
  return {...book, suspicions};
}

/** What to do with a request. */
export const Verdict = {
  innocent: 'innocent',
  /** Run it where no other suspect runs. */
  suspect: 'suspect',
  refuse: 'refuse',
} as const;
export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Judges a fingerprint now. */
export function judge(
  book: PoisonBook,
  fingerprint: string,
  now: number,
): Verdict {
  if (isConvicted(book, fingerprint, now)) return Verdict.refuse;
  if ((book.suspicions.get(fingerprint) ?? 0) > now) return Verdict.suspect;
  return Verdict.innocent;
}
