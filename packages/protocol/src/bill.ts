/**
 * Bills in batches. The origin and the peers that hold copies write a batch
 * under one key, created only when absent, so a batch is stored once whoever
 * writes it. Pure functions only.
 */

/** What one request costs its customer. */
export interface Bill {
  readonly customer: string;
  /** Idempotency key of the caller, else the minted request id. */
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly tokens: number;
  /** Micro-units of currency. */
  readonly cost: number;
}

/** Bills that are written together. */
export interface Batch {
  readonly node: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly bills: readonly Bill[];
}

/** The store key of a batch. */
export function batchKey(batch: Omit<Batch, 'bills'>): string {
  return `bill/${batch.node}/${batch.incarnation}/${batch.sequence}`;
}

function identity(bill: Bill): string {
  return `${bill.customer}\u0000${bill.requestId}`;
}

/**
 * What is still to be written when another writer's batch stands under our
 * key: the bills that it does not hold.
 */
export function missingBills(
  stored: Pick<Batch, 'bills'>,
  mine: Pick<Batch, 'bills'>,
): Bill[] {
  const written = new Set(stored.bills.map(identity));
  return mine.bills.filter(bill => !written.has(identity(bill)));
}

/** Every bill once, whatever batches repeat it. */
export function distinctBills(batches: Iterable<Pick<Batch, 'bills'>>): Bill[] {
  const seen = new Map<string, Bill>();
  for (const {bills} of batches) {
    for (const bill of bills) {
      const known = seen.get(identity(bill));
      if (known && known.tokens >= bill.tokens) continue;
      seen.set(identity(bill), bill);
    }
  }
  return [...seen.values()];
}
