/** Records each use of a limit on clients; log lines are bounded for each limit. */
import type {EntryNode} from './node.js';

/** Limits on clients, by the names in metrics and log lines. */
export const LimitKind = {
  /** The bytes that the node may hold. */
  heldBytes: 'held-bytes',
  /** The size of a request body. */
  bodyBytes: 'body-bytes',
  /** The size of a header that is not complete. */
  headerBytes: 'header-bytes',
  /** Open connections. */
  connections: 'connections',
  /** Requests being served. */
  requests: 'requests',
  /** Requests of one connection that are not answered. */
  pipelined: 'pipelined',
  /** The body of a refused request that is still being sent. */
  refusedBody: 'refused-body',
  /** Bytes that a caller does not read. */
  unread: 'unread',
} as const;
export type LimitKind = (typeof LimitKind)[keyof typeof LimitKind];

/** Least interval between two log lines for the same limit, milliseconds. */
const LINE_INTERVAL_MS = 1_000;

/** Uses of each limit that no log line has told yet. */
export interface LimitUse {
  count: number;
  loggedAt: number;
}

/** Counts the use of a limit; the next line tells the number of uses since the last one. */
export function recordLimit(
  node: Pick<EntryNode, 'clock' | 'limitUses' | 'logDecision' | 'metrics'>,
  limit: LimitKind,
  fields: Record<string, unknown> = {},
): void {
  node.metrics.clientLimits.inc({limit});
  const use = node.limitUses.get(limit) ?? {count: 0, loggedAt: -Infinity};
  node.limitUses.set(limit, use);
  use.count += 1;
  if (node.clock() - use.loggedAt < LINE_INTERVAL_MS) return;
  node.logDecision('client limit', {limit, count: use.count, ...fields});
  use.count = 0;
  use.loggedAt = node.clock();
}
