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

/** A request that ran on an upstream when it crashed. */
interface Suspicion {
  readonly crashes: number;
  /** Monotonic milliseconds after which the suspicion is dropped. */
  readonly until: number;
}

/** What a node knows of poison requests. */
export interface PoisonBook {
  readonly suspicions: ReadonlyMap<string, Suspicion>;
  readonly convicted: ReadonlyMap<string, number>;
  /** Suspects that each crash held, over all nodes. */
  readonly crashes: ReadonlyMap<string, ReadonlySet<string>>;
}

/** How long a suspicion or a conviction lasts without new crashes. */
export const POISON_MEMORY_MS = 3_600_000;

/** A book without suspects. */
export const EMPTY_BOOK: PoisonBook = {
  suspicions: new Map(),
  convicted: new Map(),
  crashes: new Map(),
};

function mergeSuspects(
  book: PoisonBook,
  crash: Crash,
): {key: string; suspects: ReadonlySet<string>} {
  const key = `${crash.upstream}@${crash.incarnation}`;
  const known = book.crashes.get(key) ?? [];
  return {key, suspects: new Set([...known, ...crash.suspects])};
}

/**
 * Enters one node's view of a crash. A crash with one suspect convicts it and
 * casts no suspicion on those beside it; any other makes suspects of all.
 */
export function recordCrash(
  book: PoisonBook,
  crash: Crash,
  now: number,
): PoisonBook {
  const {key, suspects} = mergeSuspects(book, crash);
  const crashes = new Map(book.crashes).set(key, suspects);
  const until = now + POISON_MEMORY_MS;
  if (suspects.size === 1) {
    const [culprit] = suspects;
    const convicted = new Map(book.convicted).set(culprit, until);
    return {...book, convicted, crashes};
  }
  const suspicions = new Map(book.suspicions);
  for (const fingerprint of crash.fingerprints) {
    const seen = suspicions.get(fingerprint)?.crashes ?? 0;
    suspicions.set(fingerprint, {crashes: seen + 1, until});
  }
  return {...book, suspicions, crashes};
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
  if ((book.convicted.get(fingerprint) ?? 0) > now) return Verdict.refuse;
  if ((book.suspicions.get(fingerprint)?.until ?? 0) > now)
    return Verdict.suspect;
  return Verdict.innocent;
}
