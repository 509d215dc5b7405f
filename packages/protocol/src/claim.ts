/**
 * At-most-once execution of calls that may not be repeated. A claim is created
 * only when absent and never expires, so a paused or dead holder is harmless.
 */
import {CreateOutcome} from './log.js';

/** The stored outcome of a call. */
export interface Outcome {
  readonly status: number;
  readonly contentType: string;
  /** Body in base64; absent when it was too large to keep. */
  readonly body?: string;
}

/** The record under `once/<customer>/<key>`. */
export interface Claim {
  /** Unique for each attempt to claim. */
  readonly claimId: string;
  readonly node: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /** Whether its holder gave it up without sending any byte to a service. */
  readonly released?: boolean;
  /** Absent while the call runs, and for good when its holder died. */
  readonly outcome?: Outcome;
}

/** What a node does with a call that it wants to run. */
export const ClaimStep = {
  run: 'run',
  read: 'read',
  /** Give the stored outcome. */
  replay: 'replay',
  /** Somebody claimed it; whether it ran is not known. */
  unknown: 'unknown',
  /** The key names another request. */
  reused: 'reused',
  /** Nothing was claimed by us: create again. */
  retry: 'retry',
  /** A former holder released it: claim it at the version that was read. */
  reclaim: 'reclaim',
} as const;
export type ClaimStep = (typeof ClaimStep)[keyof typeof ClaimStep];

const AFTER_CLAIM: Readonly<Record<CreateOutcome, ClaimStep>> = {
  created: ClaimStep.run,
  exists: ClaimStep.read,
  lost: ClaimStep.read,
  refused: ClaimStep.retry,
};

/** Decides after the answer to the write of a claim. */
export function afterClaim(outcome: CreateOutcome): ClaimStep {
  return AFTER_CLAIM[outcome];
}

/** Decides after the claim has been read back. */
export function afterClaimRead(
  stored: Claim | undefined,
  mine: Claim,
): ClaimStep {
  if (!stored) return ClaimStep.retry;
  if (stored.fingerprint !== mine.fingerprint) return ClaimStep.reused;
  if (stored.outcome) return ClaimStep.replay;
  if (stored.released) return ClaimStep.reclaim;
  return stored.claimId === mine.claimId ? ClaimStep.run : ClaimStep.unknown;
}
