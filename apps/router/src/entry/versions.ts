/** Which versions of a service a request may use while one is rolled out. */
import type {Exchange} from './exchange.js';
import type {Outcome} from './attempt.js';
import type {EntryNode, UpstreamState} from './node.js';

/** Whether a request may run on a version of its service. */
export function allowsVersion(
  node: EntryNode,
  exchange: Exchange,
  version: string,
): boolean {
  const order = node.orders.get(exchange.service);
  if (!order) return true;
  return version !== order.target;
}

/** How a send ended, as far as the version's quality goes. */
export interface VersionOutcome {
  readonly failed: boolean;
  readonly tookMs: number;
  readonly outcome: Outcome;
}

/** Counts a send's end for the comparison of versions. */
export function noteOutcome(
  _node: EntryNode,
  _exchange: Exchange,
  _upstream: UpstreamState,
  _seen: VersionOutcome,
): void {}
