/** Which route, customer and service a request belongs to. */
import type {
  KeyHolder,
  Route,
  RoutingTable,
} from '@parsleyarch/resource/routing';

/** A routing table prepared for look-ups. */
export interface RouteIndex {
  readonly table: RoutingTable;
  /** Routes of each host, the longest prefix first. */
  readonly hosts: ReadonlyMap<string, readonly Route[]>;
}

/** Prepares a table. */
export function indexRoutes(table: RoutingTable): RouteIndex {
  const hosts = new Map<string, Route[]>();
  for (const route of table.routes) {
    const routes = hosts.get(route.host) ?? [];
    routes.push(route);
    hosts.set(route.host, routes);
  }
  for (const routes of hosts.values())
    routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return {table, hosts};
}

function hostOf(authority: string): string {
  return authority.replace(/:\d+$/, '').toLowerCase();
}

/** The route with the longest prefix of a path, the query left out. */
export function findRoute(
  index: RouteIndex,
  authority: string,
  target: string,
): Route | undefined {
  const path = target.split('?', 1)[0];
  for (const route of index.hosts.get(hostOf(authority)) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

/** Whether a key may use a route, and whose it is. */
export type Admission =
  | {readonly admitted: true; readonly customer?: KeyHolder}
  | {readonly admitted: false};

/** Looks a key up; a public route needs none. */
export function admitKey(
  table: RoutingTable,
  route: Route,
  key: string | undefined,
): Admission {
  if (!table.keys) return {admitted: true};
  const customer = key === undefined ? undefined : table.keys.get(key);
  if (customer) return {admitted: true, customer};
  return route.isPublic ? {admitted: true} : {admitted: false};
}

/** Draws the service of a request by weight; `draw` lies in [0, 1). */
export function drawService(route: Route, draw: number): string | undefined {
  let total = 0;
  for (const {weight} of route.targets) total += weight;
  let left = draw * total;
  for (const {service, weight} of route.targets) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.targets.at(-1)?.service;
}
