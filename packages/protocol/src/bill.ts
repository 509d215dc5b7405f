/**
 * Batches of bills. The origin of a batch and the peers that hold copies of it
 * write it under the same key, created only if absent, so that it is stored
 * once regardless of the writer. Pure functions only.
 */

/** The charge to a customer for one request. */
export interface Bill {
  readonly customer: string;
  /** Idempotency key of the caller, or else the generated request ID. */
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly tokens: number;
  /** Millionths of the currency unit. */
  readonly cost: number;
}

/** Bills that are written under one store key. */
export interface BillBatch {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly bills: readonly Bill[];
}

export function batchKey(batch: Omit<BillBatch, 'bills'>): string {
  return `bill/${batch.node}/${batch.incarnation}/${batch.sequence}`;
}

function deduplicationKey(bill: Bill): string {
  return `${bill.customer}\u0000${bill.requestId}`;
}

/**
 * Returns the bills that the stored batch does not contain. They remain to be
 * written when another writer has created the key first.
 */
export function findMissingBills(
  stored: Pick<BillBatch, 'bills'>,
  mine: Pick<BillBatch, 'bills'>,
): Bill[] {
  const written = new Set(stored.bills.map(deduplicationKey));
  return mine.bills.filter(bill => !written.has(deduplicationKey(bill)));
}

/** Returns one bill per customer and request, the one with the most tokens. */
export function deduplicateBills(
  batches: Iterable<Pick<BillBatch, 'bills'>>,
): Bill[] {
  const seen = new Map<string, Bill>();
  for (const {bills} of batches) {
    for (const bill of bills) {
      const known = seen.get(deduplicationKey(bill));
      if (known && known.tokens >= bill.tokens) continue;
      seen.set(deduplicationKey(bill), bill);
    }
  }
  return [...seen.values()];
}
