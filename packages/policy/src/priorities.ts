/**
 * Classes of priority. Configurations may use any numbers as priorities; decisions
 * compare a few classes. Meant for load at which requests of different priorities
 * compete for the same upstreams.
 */
import type {Route, RoutingTable} from '@parsleyarch/resource/routing';

/** Largest number of classes; class 0 is the most urgent. */
export const PRIORITY_CLASS_COUNT = 4;

/** What competes for one service; priorities are distinct and ascending. */
export interface Competition {
  /** Priorities of requests: those of customers, else those of routes. */
  readonly priorities: readonly number[];
  readonly routePriorities: readonly number[];
  /** Longest latency objective that a route declares, milliseconds; 0 if none does. */
  readonly longestObjectiveMs: number;
}

/** What competes for each service. */
export type Competitions = ReadonlyMap<string, Competition>;

function sortDistinct(numbers: Iterable<number>): readonly number[] {
  return [...new Set(numbers)].sort((a, b) => a - b);
}

/** Priorities of customers, and whether all callers with a key have one. */
function listCustomerPriorities({keys}: RoutingTable) {
  const priorities: number[] = [];
  for (const {priority} of keys?.values() ?? []) {
    if (priority !== undefined) priorities.push(priority);
  }
  return {priorities, isComplete: priorities.length === keys?.size};
}

function describeCompetition(
  routes: readonly Route[],
  ofCustomers: ReturnType<typeof listCustomerPriorities>,
): Competition {
  const ranking = routes.filter(
    ({isPublic}) => isPublic || !ofCustomers.isComplete,
  );
  const ofRoutes = ranking.map(({priority}) => priority);
  // A route without an objective of its own has its timeout in place of it.
  const objectives = routes
    .filter(({objectiveMs, timeoutMs}) => objectiveMs < timeoutMs)
    .map(({objectiveMs}) => objectiveMs);
  return {
    priorities: sortDistinct([...ofRoutes, ...ofCustomers.priorities]),
    routePriorities: sortDistinct(routes.map(({priority}) => priority)),
    longestObjectiveMs: Math.max(0, ...objectives),
  };
}

/** Lists what competes for each service. */
export function listCompetitions(table: RoutingTable): Competitions {
  const routes = new Map<string, Route[]>();
  for (const route of table.routes) {
    for (const {service} of route.targets) {
      const known = routes.get(service) ?? [];
      known.push(route);
      routes.set(service, known);
    }
  }
  const ofCustomers = listCustomerPriorities(table);
  const competitions = new Map<string, Competition>();
  for (const [service, ofService] of routes)
    competitions.set(service, describeCompetition(ofService, ofCustomers));
  return competitions;
}

/** Number of classes that declared priorities take. */
export function countClasses(declared: readonly number[]): number {
  return Math.max(1, Math.min(PRIORITY_CLASS_COUNT, declared.length));
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
  const classCount = countClasses(declared);
  const scale = classCount / Math.max(1, declared.length);
  return Math.min(classCount - 1, Math.floor(rank * scale));
}
