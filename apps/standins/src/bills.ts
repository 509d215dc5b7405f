/** Reads bills from the store as a billing system does. */
import type {StoreStandIn} from './store.js';

export interface StoredBill {
  readonly customer: string;
  readonly requestId: string;
  readonly version: string;
  readonly tokens: number;
}

/** Reads all bills, deduplicated by customer and request id. */
export function readBills(store: StoreStandIn): StoredBill[] {
  const distinctBills = new Map<string, StoredBill>();
  for (const {key, value} of store.items.values()) {
    if (!key.startsWith('bill/')) continue;
    for (const bill of (value as {bills: StoredBill[]}).bills)
      distinctBills.set(`${bill.customer} ${bill.requestId}`, bill);
  }
  return [...distinctBills.values()];
}
