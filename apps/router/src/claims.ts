/** Claims in the store for calls that may run at most once. */
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

/** How long a node tries to claim through lost answers. */
const CLAIM_BOUND_MS = 3_000;
const CLAIM_PAUSE_MS = 50;

/** A claim that this node holds. */
export interface HeldClaim {
  readonly key: string;
  readonly claim: Claim;
  readonly version: number;
}

/** A claim of ours, or the outcome of an earlier run. */
export type ClaimResult =
  {readonly held: HeldClaim} | {readonly replay: StoredResponse};

function claimKey(customer: string, key: string): string {
  return `once/${customer}/${key}`;
}

const REFUSALS: Readonly<Partial<Record<ClaimStep, Failure>>> = {
  unknown: failure(
    'outcome-unknown',
    'this key was claimed before; whether the call ran is not known',
  ),
  reused: failure('key-reused', 'this key belongs to another request'),
};

/** Claims a key, reading back whenever an answer is lost. */
export async function claimOnce(
  node: RouterNode,
  customer: string,
  idempotencyKey: string,
  fingerprint: string,
): Promise<Result<ClaimResult, Failure>> {
  const key = claimKey(customer, idempotencyKey);
  const claim: Claim = {claimId: randomUUID(), node: node.name, fingerprint};
  const giveUpAt = node.clock() + CLAIM_BOUND_MS;
  let write: () => Promise<WriteResult> = () =>
    createKey(node.store, key, claim);
  while (node.clock() < giveUpAt) {
    const {outcome, version} = await write();
    if (decideAfterClaim(outcome) === ClaimStep.run && version !== undefined)
      return ok({held: {key, claim, version}});
    const stored = await readKey(node.store, key);
    if (stored.isErr()) {
      await wait(CLAIM_PAUSE_MS);
      continue;
    }
    const found = stored.value?.value as Claim | undefined;
    const step = decideAfterClaimRead(found, claim);
    const refusal = REFUSALS[step];
    if (refusal) return err(refusal);
    if (step === ClaimStep.replay && found?.outcome)
      return ok({replay: found.outcome});
    const at = stored.value?.version ?? 0;
    if (step === ClaimStep.run) return ok({held: {key, claim, version: at}});
    if (step === ClaimStep.reclaim)
      write = () => replaceKey(node.store, key, claim, at);
    await wait(CLAIM_PAUSE_MS);
  }
  return err(
    failure('store-unavailable', 'the claim cannot be made now', {
      retryAfterMs: 1_000,
    }),
  );
}

/** Writes the last state of a claim, again while the store refuses or is silent. */
async function finishClaim(
  node: RouterNode,
  held: HeldClaim,
  last: Claim,
): Promise<boolean> {
  const giveUpAt = node.clock() + CLAIM_BOUND_MS;
  while (node.clock() < giveUpAt) {
    const {outcome} = await replaceKey(
      node.store,
      held.key,
      last,
      held.version,
    );
    // `exists` after a lost answer: our own write took effect.
    if (outcome === WriteOutcome.created) return true;
    if (outcome === WriteOutcome.exists) return true;
    await wait(CLAIM_PAUSE_MS);
  }
  node.log.warn({key: held.key}, 'the end of a call was not stored');
  return false;
}

/**
 * Stores the outcome of a call, without keeping the caller waiting. When that
 * fails, a repeat of the key is told `unknown`.
 */
export function storeOutcome(
  node: RouterNode,
  held: HeldClaim,
  outcome: StoredResponse,
): void {
  // Counted as active, so that a planned stop waits for it.
  node.active += 1;
  void finishClaim(node, held, {...held.claim, outcome}).finally(() => {
    node.active -= 1;
  });
}

/** Gives up a claim under which no byte was sent, before the caller is told. */
export function releaseClaim(
  node: RouterNode,
  held: HeldClaim,
): Promise<boolean> {
  return finishClaim(node, held, {...held.claim, released: true});
}
