/** Finds the route, customer and service of a request. */
import type {
  KeyHolder,
  Route,
  RoutingTable,
} from '@parsleyarch/resource/routing';
import {listCompetitions, type Competitions} from './priorities.js';

/** A routing table indexed by host. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /** Routes of each host, longest path prefix first. */
  readonly hosts: ReadonlyMap<string, readonly Route[]>;
  /** What competes for each service. */
  readonly competitions: Competitions;
}

export function indexRoutes(table: RoutingTable): RouteIndex {
  const hosts = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = hosts.get(route.host) ?? [];
    routes.push(route);
    hosts.set(route.host, routes);
  }
  for (const routes of hosts.values())
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return {table, hosts, competitions: listCompetitions(table)};
}

function normalizeHost(authority: string): string {
  return authority.replace(/:\d+$/, '').toLowerCase();
}

/** Finds the route with the longest matching path prefix; ignores the query. */
export function findRoute(
  index: RouteIndex,
  authority: string,
  target: string,
): Route | undefined {
  const path = target.split('?', 1)[0];
  for (const route of index.hosts.get(normalizeHost(authority)) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

/** Whether a request may use a route, and the customer that owns its key. */
export type Authorization =
  | {readonly authorized: true; readonly customer?: KeyHolder}
  | {readonly authorized: false};

/** Authorizes a request by its key; public routes need none. */
export function authorizeKey(
  table: RoutingTable,
  route: Route,
  key: string | undefined,
): Authorization {
  if (!table.keys) return {authorized: true};
  const customer = key === undefined ? undefined : table.keys.get(key);
  if (customer) return {authorized: true, customer};
  return route.isPublic ? {authorized: true} : {authorized: false};
}

/** Picks a service of the route by weight; `draw` is in [0, 1). */
export function drawService(route: Route, draw: number): string | undefined {
  let total = 0;
  for (const {weight} of route.targets) total += weight;
  let remaining = draw * total;
  for (const {service, weight} of route.targets) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
