/** Client-side rate limit on store calls, as one token bucket each for reads and writes. */

/** Calls per second that a node may make; the burst is one second's worth. */
export interface BudgetRates {
  readonly read: number;
  readonly write: number;
}

/** Token buckets, refilled continuously. */
export interface Budget {
  readonly rates: BudgetRates;
  readonly clock: () => number;
  readonly tokens: {read: number; write: number};
  refilledAtMs: number;
  /** Number of calls admitted. */
  readonly callCounts: {read: number; write: number};
}

/** Creates a budget with full buckets. `clock` gives monotonic milliseconds. */
export function createBudget(rates: BudgetRates, clock: () => number): Budget {
  return {
    rates,
    clock,
    tokens: {...rates},
    refilledAtMs: clock(),
    callCounts: {read: 0, write: 0},
  };
}

function refill(budget: Budget): void {
  const now = budget.clock();
  const seconds = (now - budget.refilledAtMs) / 1_000;
  const {tokens, rates} = budget;
  tokens.read = Math.min(rates.read, tokens.read + rates.read * seconds);
  tokens.write = Math.min(rates.write, tokens.write + rates.write * seconds);
  budget.refilledAtMs = now;
}

/** Takes one token for a call; false if the bucket is empty. */
export function tryAcquire(budget: Budget, call: keyof BudgetRates): boolean {
  refill(budget);
  if (budget.tokens[call] < 1) return false;
  budget.tokens[call] -= 1;
  budget.callCounts[call] += 1;
  return true;
}
