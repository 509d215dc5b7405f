/** The open connections of callers and of nodes that delegate requests. */
import {
  chooseConnectionToClose,
  ConnectionPhase,
} from '@parsleyarch/policy/client-limits';
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {LimitKind, recordLimit} from './limit-uses.js';
import type {EntryNode} from './node.js';
import {createHeaderCheck} from './unfinished-headers.js';

/** One open connection. */
export interface Connection {
  readonly socket: Socket;
  /** Answers that are not finished. */
  readonly pending: Set<ServerResponse>;
  /** Called when it closes. */
  readonly onClose: Set<() => void>;
  /** When it was opened, or its latest request or answer began or ended. */
  since: number;
  /** Bytes received up to the end of the latest complete request. */
  bytesBefore: number;
}

export type Connections = Map<Socket, Connection>;

/** What the connections need of a node. */
export type ConnectionNode = Pick<
  EntryNode,
  | 'clock'
  | 'connections'
  | 'clientLimits'
  | 'limitUses'
  | 'logDecision'
  | 'metrics'
  | 'routes'
  | 'settings'
>;

function findResponsePhase(response: ServerResponse): ConnectionPhase {
  const {req, headersSent, writableEnded} = response;
  if (!req.complete)
    return headersSent ? ConnectionPhase.refused : ConnectionPhase.body;
  return writableEnded ? ConnectionPhase.unread : ConnectionPhase.served;
}

function findPhase(connection: Connection): ConnectionPhase {
  const {socket, pending, bytesBefore} = connection;
  if (pending.size === 0)
    return socket.bytesRead > bytesBefore
      ? ConnectionPhase.header
      : ConnectionPhase.idle;
  const phases = [...pending].map(findResponsePhase);
  return phases.includes(ConnectionPhase.served)
    ? ConnectionPhase.served
    : phases[0];
}

/** Closes one connection if there are too many; the new one if all are being served. */
function makeRoom(node: ConnectionNode, added: Socket): void {
  if (node.connections.size < node.clientLimits.connections) return;
  const candidates = [...node.connections.values()].map(connection => ({
    phase: findPhase(connection),
    since: connection.since,
    socket: connection.socket,
  }));
  const chosen = chooseConnectionToClose(candidates);
  const {phase, socket} = chosen ?? {phase: 'new', socket: added};
  recordLimit(node, LimitKind.connections, {phase});
  node.connections.delete(socket);
  socket.destroy();
}

/** Bounds the connections of a listener. */
export function trackConnections(node: ConnectionNode, server: Server): void {
  const checkHeaders = createHeaderCheck(node);
  server.on('connection', socket => {
    makeRoom(node, socket);
    if (socket.destroyed) return;
    const connection: Connection = {
      socket,
      pending: new Set(),
      onClose: new Set(),
      since: node.clock(),
      bytesBefore: 0,
    };
    node.connections.set(socket, connection);
    checkHeaders();
    socket.once('close', () => {
      node.connections.delete(socket);
      for (const callback of [...connection.onClose]) callback();
    });
  });
}

/**
 * Calls back once the answer is finished or its connection closes. An answer that
 * waits for an earlier one of its connection does not emit `close` in the latter case.
 */
export function onceClosed(
  {connections}: Pick<EntryNode, 'connections'>,
  response: ServerResponse,
  callback: () => void,
): void {
  const connection = connections.get(response.req.socket);
  const done = () => {
    response.off('close', done);
    connection?.onClose.delete(done);
    callback();
  };
  response.once('close', done);
  connection?.onClose.add(done);
  if (response.req.socket.destroyed) done();
}

/**
 * Notes a request of a connection. Returns false if too many of its requests are not
 * answered; the connection is then closed.
 */
export function admitRequest(
  node: ConnectionNode,
  response: ServerResponse,
): boolean {
  const {socket} = response.req;
  const connection = node.connections.get(socket);
  if (socket.destroyed || !connection) return false;
  const {pending} = connection;
  if (pending.size >= node.settings.clients.pipelined) {
    recordLimit(node, LimitKind.pipelined, {requests: pending.size});
    socket.destroy();
    return false;
  }
  pending.add(response);
  connection.since = node.clock();
  const noteEnd = () => (connection.bytesBefore = socket.bytesRead);
  response.req.once('end', noteEnd);
  onceClosed(node, response, () => {
    pending.delete(response);
    connection.since = node.clock();
    noteEnd();
  });
  return true;
}
