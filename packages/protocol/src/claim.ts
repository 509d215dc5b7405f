/**
 * At-most-once execution of calls that may not be repeated. A claim is created
 * only if absent and never expires, so that no other node repeats the call of a
 * holder that has paused or crashed.
 */
import {CreateOutcome} from './log.js';

/** The stored response to a call. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** Body in base64; absent if it was too large to store. */
  readonly body?: string;
}

/** The record stored under `once/<customer>/<key>`. */
export interface Claim {
  /** Unique ID of the attempt to create the claim. */
  readonly claimId: string;
  readonly node: string;
  /** Hash of method, path and body. */
  readonly fingerprint: string;
  /**
   * Whether the holder released the claim before sending any byte to a service.
   */
  readonly released?: boolean;
  /** Absent while the call runs, and permanently if its holder crashed. */
  readonly outcome?: StoredResponse;
}

/** Next step of a node that has a call to execute. */
export const ClaimStep = {
  run: 'run',
  /** Read the claim to find out whose it is. */
  read: 'read',
  /** Return the stored response. */
  replay: 'replay',
  /**
   * Another attempt holds the claim; whether the call was executed is unknown.
   */
  unknown: 'unknown',
  /** The key belongs to a different request. */
  reused: 'reused',
  /** No claim exists or the store refused the call: create it again. */
  retry: 'retry',
  /** The previous holder released it: overwrite the version that was read. */
  reclaim: 'reclaim',
} as const;
export type ClaimStep = (typeof ClaimStep)[keyof typeof ClaimStep];

const STEP_AFTER_CLAIM: Readonly<Record<CreateOutcome, ClaimStep>> = {
  created: ClaimStep.run,
  exists: ClaimStep.read,
  lost: ClaimStep.read,
  refused: ClaimStep.retry,
};

/** Decides the next step after the write of a claim. */
export function decideAfterClaim(outcome: CreateOutcome): ClaimStep {
  return STEP_AFTER_CLAIM[outcome];
}

/** Decides the next step after reading the claim back. */
export function decideAfterClaimRead(
  stored: Claim | undefined,
  mine: Claim,
): ClaimStep {
  if (!stored) return ClaimStep.retry;
  if (stored.fingerprint !== mine.fingerprint) return ClaimStep.reused;
  if (stored.outcome) return ClaimStep.replay;
  if (stored.released) return ClaimStep.reclaim;
  return stored.claimId === mine.claimId ? ClaimStep.run : ClaimStep.unknown;
}
