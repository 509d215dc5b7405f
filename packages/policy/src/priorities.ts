/**
 * Classes of priority. Configurations may use any numbers as priorities; decisions
 * compare a few classes. Meant for load at which requests of different priorities
 * compete for the same upstreams.
 */
import type {RoutingTable} from '@parsleyarch/resource/routing';

/** Number of classes; 0 is the most urgent. */
export const PRIORITY_CLASS_COUNT = 4;

/** Distinct priorities that compete for each service, ascending. */
export type DeclaredPriorities = ReadonlyMap<string, readonly number[]>;

/** Lists the priorities of routes and customers by service. */
export function listPriorities(table: RoutingTable): DeclaredPriorities {
  const ofCustomers: number[] = [];
  for (const {priority} of table.keys?.values() ?? []) {
    if (priority !== undefined) ofCustomers.push(priority);
  }
  const declared = new Map<string, Set<number>>();
  for (const {targets, priority} of table.routes) {
    for (const {service} of targets) {
      const known = declared.get(service) ?? new Set(ofCustomers);
      declared.set(service, known.add(priority));
    }
  }
  const sorted = new Map<string, readonly number[]>();
  for (const [service, priorities] of declared)
    sorted.set(
      service,
      [...priorities].sort((a, b) => a - b),
    );
  return sorted;
}

/**
 * Class of a priority by its rank among the declared ones. More priorities than
 * classes share the classes evenly; one that is not declared ranks by its value.
 */
export function classOfPriority(
  priority: number,
  declared: readonly number[] = [],
): number {
  let rank = 0;
  for (const other of declared) {
    if (other < priority) rank += 1;
  }
  const scale = Math.min(
    1,
    PRIORITY_CLASS_COUNT / Math.max(1, declared.length),
  );
  return Math.min(PRIORITY_CLASS_COUNT - 1, Math.floor(rank * scale));
}
