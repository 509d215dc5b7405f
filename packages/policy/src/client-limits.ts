/**
 * Limits on what clients may take of a node, from the resources of its machine, and
 * which connection is closed when there are too many. Answers the load of clients that
 * open many connections or send more than they read. Pure functions only.
 */

/** Resources of a machine, as far as they are known. */
export interface MachineLimits {
  readonly memoryMb?: number;
  readonly maxDescriptors?: number;
}

/** What clients may take of a node. */
export interface ClientLimits {
  /** Bytes held for requests and answers. */
  readonly heldBytes: number;
  /** Open connections of callers and of nodes that delegate requests. */
  readonly connections: number;
  /** Requests being served. */
  readonly requests: number;
}

const BYTES_PER_MB = 1 << 20;
/** Memory of a machine that does not state it, megabytes. */
const DEFAULT_MEMORY_MB = 512;
/** Memory that a node takes under load besides what it holds for clients, megabytes. */
const OWN_MEMORY_MB = 130;
/** Share of the other memory that the account may fill; the rest is for copies. */
const HELD_SHARE = 0.5;
/** Least bound of the account, megabytes; holds a few of the largest bodies. */
const MIN_HELD_MB = 16;
/** Descriptors of a machine that does not state them. */
const DEFAULT_DESCRIPTORS = 4_096;
/** Descriptors for files, the store, other nodes and listeners. */
const OWN_DESCRIPTORS = 400;
/** Least number of connections, and of requests. */
const MIN_CONNECTIONS = 32;

/** Limits that an operator states; they take precedence over those of the machine. */
export interface StatedLimits {
  readonly heldMb?: number;
  readonly connections?: number;
  readonly requests?: number;
}

/** Derives the limits from the machine. */
export function deriveClientLimits(
  {
    memoryMb = DEFAULT_MEMORY_MB,
    maxDescriptors = DEFAULT_DESCRIPTORS,
  }: MachineLimits,
  stated: StatedLimits,
): ClientLimits {
  const heldMb = Math.max(MIN_HELD_MB, (memoryMb - OWN_MEMORY_MB) * HELD_SHARE);
  // A request that is being served has a connection of its caller and one to its upstream.
  const connections = Math.floor((maxDescriptors - OWN_DESCRIPTORS) / 2);
  return {
    heldBytes: (stated.heldMb ?? heldMb) * BYTES_PER_MB,
    connections: stated.connections ?? Math.max(MIN_CONNECTIONS, connections),
    requests: stated.requests ?? Math.max(MIN_CONNECTIONS, connections),
  };
}

/** What a connection is occupied with. */
export const ConnectionPhase = {
  /** A request whose header has begun to arrive. */
  header: 'header',
  /** A refused request whose body is discarded. */
  refused: 'refused',
  /** No request. */
  idle: 'idle',
  /** A request whose body has begun to arrive. */
  body: 'body',
  /** An answer that the caller has not taken. */
  unread: 'unread',
  /** A request that is being served. */
  served: 'served',
} as const;
export type ConnectionPhase =
  (typeof ConnectionPhase)[keyof typeof ConnectionPhase];

/** An open connection of a client. */
export interface ClientConnection {
  readonly phase: ConnectionPhase;
  /** When the phase began or the one before it, monotonic milliseconds. */
  readonly since: number;
}

/** Phases in the order in which connections are closed; served ones are not. */
const CLOSING_ORDER: readonly ConnectionPhase[] = [
  ConnectionPhase.refused,
  ConnectionPhase.header,
  ConnectionPhase.idle,
  ConnectionPhase.body,
  ConnectionPhase.unread,
];

/** The connection to close for a new one; `undefined` if all are being served. */
export function chooseConnectionToClose<C extends ClientConnection>(
  connections: Iterable<C>,
): C | undefined {
  let chosen: C | undefined;
  let chosenRank = CLOSING_ORDER.length;
  for (const connection of connections) {
    const rank = CLOSING_ORDER.indexOf(connection.phase);
    if (rank < 0 || rank > chosenRank) continue;
    if (chosen && rank === chosenRank && chosen.since <= connection.since)
      continue;
    chosen = connection;
    chosenRank = rank;
  }
  return chosen;
}
