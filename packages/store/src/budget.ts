/** A node's share of the store's call rate, as token buckets. */

/** Calls a second that a node may make; the burst is one second's worth. */
export interface BudgetRates {
  readonly read: number;
  readonly write: number;
}

/** Remaining calls; refilled as time passes. */
export interface Budget {
  readonly rates: BudgetRates;
  readonly clock: () => number;
  readonly left: {read: number; write: number};
  filledAt: number;
  /** Calls made so far. */
  readonly spent: {read: number; write: number};
}

/** A full budget. `clock` gives monotonic milliseconds. */
export function createBudget(rates: BudgetRates, clock: () => number): Budget {
  return {
    rates,
    clock,
    left: {...rates},
    filledAt: clock(),
    spent: {read: 0, write: 0},
  };
}

function refill(budget: Budget): void {
  const now = budget.clock();
  const seconds = (now - budget.filledAt) / 1_000;
  const {left, rates} = budget;
  left.read = Math.min(rates.read, left.read + rates.read * seconds);
  left.write = Math.min(rates.write, left.write + rates.write * seconds);
  budget.filledAt = now;
}

/** Takes one call from the budget; false when none is left. */
export function spend(budget: Budget, call: keyof BudgetRates): boolean {
  refill(budget);
  if (budget.left[call] < 1) return false;
  budget.left[call] -= 1;
  budget.spent[call] += 1;
  return true;
}
