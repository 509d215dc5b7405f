/** Claims in the store for calls that must run at most once. */
import {failure, type Failure} from '@parsleyarch/errors/failure';
import {wait} from '@parsleyarch/lifecycle/process';
import {
  decideAfterClaim,
  decideAfterClaimRead,
  ClaimStep,
  type Claim,
  type StoredResponse,
} from '@parsleyarch/protocol/claim';
import {
  createKey,
  readKey,
  replaceKey,
  WriteOutcome,
  type WriteResult,
} from '@parsleyarch/store/client';
import {randomUUID} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {RouterNode} from './node.js';

/** How long a claim is retried when store responses are lost. */
const CLAIM_TIMEOUT_MS = 3_000;
const CLAIM_RETRY_DELAY_MS = 50;

/** A claim that this node holds. */
export interface HeldClaim {
  readonly key: string;
  readonly claim: Claim;
  /** Version of the stored item, which the final write must match. */
  readonly version: number;
}

/**
 * Either the claim that this node acquired, or the stored response of an
 * earlier run.
 */
export type ClaimResult =
  {readonly held: HeldClaim} | {readonly replay: StoredResponse};

function claimStoreKey(customer: string, key: string): string {
  return `once/${customer}/${key}`;
}

const REFUSALS: Readonly<Partial<Record<ClaimStep, Failure>>> = {
  unknown: failure(
    'outcome-unknown',
    'the idempotency key is already claimed; whether the call ran is unknown',
  ),
  reused: failure(
    'key-reused',
    'the idempotency key was used for a different request',
  ),
};

/**
 * Claims an idempotency key. Reads the claim back whenever a write is not
 * confirmed.
 */
export async function acquireClaim(
  node: RouterNode,
  customer: string,
  idempotencyKey: string,
  fingerprint: string,
): Promise<Result<ClaimResult, Failure>> {
  const key = claimStoreKey(customer, idempotencyKey);
  const claim: Claim = {claimId: randomUUID(), node: node.name, fingerprint};
  const deadline = node.clock() + CLAIM_TIMEOUT_MS;
  let write: () => Promise<WriteResult> = () =>
    createKey(node.store, key, claim);
  while (node.clock() < deadline) {
    const {outcome, version} = await write();
    if (decideAfterClaim(outcome) === ClaimStep.run && version !== undefined)
      return ok({held: {key, claim, version}});
    const stored = await readKey(node.store, key);
    if (stored.isErr()) {
      await wait(CLAIM_RETRY_DELAY_MS);
      continue;
    }
    const found = stored.value?.value as Claim | undefined;
    const step = decideAfterClaimRead(found, claim);
    const refusal = REFUSALS[step];
    if (refusal) return err(refusal);
    if (step === ClaimStep.replay && found?.outcome)
      return ok({replay: found.outcome});
    const storedVersion = stored.value?.version ?? 0;
    if (step === ClaimStep.run)
      return ok({held: {key, claim, version: storedVersion}});
    if (step === ClaimStep.reclaim)
      write = () => replaceKey(node.store, key, claim, storedVersion);
    await wait(CLAIM_RETRY_DELAY_MS);
  }
  return err(
    failure(
      'store-unavailable',
      'the idempotency key could not be claimed in the store',
      {
        retryAfterMs: 1_000,
      },
    ),
  );
}

/**
 * Writes the final state of a claim, and retries while the store rejects it or
 * does not respond.
 */
async function writeFinalClaim(
  node: RouterNode,
  held: HeldClaim,
  finalClaim: Claim,
): Promise<boolean> {
  const deadline = node.clock() + CLAIM_TIMEOUT_MS;
  while (node.clock() < deadline) {
    const {outcome} = await replaceKey(
      node.store,
      held.key,
      finalClaim,
      held.version,
    );
    // `exists` after a lost response means that this node's own write took
    // effect.
    if (outcome === WriteOutcome.created) return true;
    if (outcome === WriteOutcome.exists) return true;
    await wait(CLAIM_RETRY_DELAY_MS);
  }
  node.log.warn({key: held.key}, 'final state of the claim was not stored');
  return false;
}

/**
 * Stores the outcome of a call in the background, so that the caller need not
 * wait. If that fails, a retry with the same key gets `outcome-unknown`.
 */
export function storeOutcome(
  node: RouterNode,
  held: HeldClaim,
  outcome: StoredResponse,
): void {
  // Counted as an active request, so that a graceful stop waits for it.
  node.activeRequests += 1;
  void writeFinalClaim(node, held, {...held.claim, outcome}).finally(() => {
    node.activeRequests -= 1;
  });
}

/**
 * Releases a claim under which no byte was sent, so that the caller may reuse
 * the key. Completes before the caller gets its answer.
 */
export function releaseClaim(
  node: RouterNode,
  held: HeldClaim,
): Promise<boolean> {
  return writeFinalClaim(node, held, {...held.claim, released: true});
}
