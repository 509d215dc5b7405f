/**
 * Closes connections that send more than a whole header without ending it. The parser
 * has a limit of its own, which is the same for all configurations and far higher.
 */
import type {Connection, ConnectionNode} from './connections.js';
import {LimitKind, recordLimit} from './limit-uses.js';

/** Number of connections whose headers are not checked, as they take little memory. */
const UNCHECKED_CONNECTIONS = 64;
const CHECK_INTERVAL_MS = 250;

function isOversized(connection: Connection, maxBytes: number): boolean {
  const {socket, pending, bytesBefore} = connection;
  if (socket.bytesRead - bytesBefore <= maxBytes) return false;
  // Otherwise these may be bytes of a body.
  return [...pending].every(({req}) => req.complete);
}

function closeOversized(node: ConnectionNode): void {
  const maxBytes = node.routes?.table.limits.headerBytes ?? Infinity;
  for (const connection of node.connections.values()) {
    if (!isOversized(connection, maxBytes)) continue;
    recordLimit(node, LimitKind.headerBytes);
    connection.socket.destroy();
  }
}

/** Returns a function that starts the check if there are many connections. */
export function createHeaderCheck(node: ConnectionNode): () => void {
  let timer: NodeJS.Timeout | undefined;
  const check = () => {
    timer = undefined;
    closeOversized(node);
    start();
  };
  const start = () => {
    if (timer || node.connections.size <= UNCHECKED_CONNECTIONS) return;
    timer = setTimeout(check, CHECK_INTERVAL_MS).unref();
  };
  return start;
}
