/** A TCP proxy that injects faults between two processes. */
import * as net from 'node:net';

/** Fault to inject into a connection. */
export interface ProxyFault {
  /** Delay of each chunk, in milliseconds. */
  readonly delayMs?: number;
  /** Resets the connection after this many bytes to the server. */
  readonly cutUpAt?: number;
  /** Resets the connection after this many bytes from the server. */
  readonly cutDownAt?: number;
  /** Accepts bytes and forwards none. */
  readonly blackHole?: boolean;
  /** Sends every chunk from the server twice. */
  readonly duplicateResponse?: boolean;
}

/** A direction of a connection through a proxy. */
export type Direction = 'to server' | 'from server';
export const BOTH_DIRECTIONS: readonly Direction[] = [
  'to server',
  'from server',
];

export interface FaultProxy {
  readonly port: number;
  readonly address: string;
  /** Bytes forwarded so far in both directions. */
  readonly forwarded: {bytes: number};
  /** Chooses the fault for each connection, by its number from 0. */
  fault: (connection: number) => ProxyFault;
  /** Rejects new connections and closes open ones. */
  partition(on: boolean): void;
  /** Pauses or resumes forwarding; connections stay open. */
  freeze(on: boolean): void;
  /**
   * Drops the bytes of some directions, until it is called without any. A connection
   * that has lost bytes stays silent in that direction, and is never closed.
   */
  drop(directions: readonly Direction[]): void;
  /** Makes the open connections silent for good; new ones work. */
  silenceOpen(): void;
  /** Stops or starts listening; open connections are not affected. */
  refuse(on: boolean): Promise<void>;
  close(): Promise<void>;
}

/** One direction of a connection. */
interface Flow {
  readonly from: net.Socket;
  readonly to: net.Socket;
  readonly cutAt?: number;
  readonly duplicate?: boolean;
  /** Whether a chunk is dropped. */
  readonly isDropped: () => boolean;
}

function forward(
  {from, to, cutAt, duplicate, isDropped}: Flow,
  fault: ProxyFault,
  counter: {bytes: number},
): void {
  let forwardedBytes = 0;
  from.on('data', chunk => {
    if (fault.blackHole || isDropped()) return;
    const send = () => {
      const remaining =
        cutAt === undefined ? chunk.length : cutAt - forwardedBytes;
      const allowed = chunk.subarray(0, Math.max(0, remaining));
      forwardedBytes += allowed.length;
      counter.bytes += allowed.length;
      if (!to.destroyed) to.write(allowed);
      if (duplicate && !to.destroyed) to.write(allowed);
      if (allowed.length < chunk.length) {
        to.end();
        from.resetAndDestroy();
      }
    };
    if (fault.delayMs) setTimeout(send, fault.delayMs);
    else send();
  });
  // Delayed chunks are written before the other side is closed.
  from.on('close', () => {
    if (!isDropped()) setTimeout(() => to.destroy(), fault.delayMs ?? 0);
  });
  from.on('error', () => {
    if (!isDropped()) to.destroy();
  });
}

/** Starts a proxy that forwards to a port on loopback. */
export async function startProxy(targetPort: number): Promise<FaultProxy> {
  const sockets = new Set<net.Socket>();
  let partitioned = false;
  let connectionCount = 0;
  let dropped: readonly Direction[] = [];
  const silenced = new Set<Set<Direction>>();
  const forwarded = {bytes: 0};
  const server = net.createServer(client => {
    if (partitioned) {
      client.resetAndDestroy();
      return;
    }
    const fault = proxy.fault(connectionCount);
    connectionCount += 1;
    const upstream = net.connect(targetPort, '127.0.0.1');
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    }
    const silent = new Set<Direction>();
    silenced.add(silent);
    client.on('close', () => silenced.delete(silent));
    const isDropped = (direction: Direction) => () => {
      if (dropped.includes(direction)) silent.add(direction);
      return silent.has(direction);
    };
    forward(
      {
        from: client,
        to: upstream,
        cutAt: fault.cutUpAt,
        isDropped: isDropped('to server'),
      },
      fault,
      forwarded,
    );
    forward(
      {
        from: upstream,
        to: client,
        cutAt: fault.cutDownAt,
        duplicate: fault.duplicateResponse,
        isDropped: isDropped('from server'),
      },
      fault,
      forwarded,
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const closeConnections = () => {
    for (const socket of sockets) socket.destroy();
  };
  const proxy: FaultProxy = {
    port,
    address: `http://127.0.0.1:${port}`,
    forwarded,
    fault: () => ({}),
    partition(on) {
      partitioned = on;
      if (on) closeConnections();
    },
    freeze(on) {
      for (const socket of sockets) {
        if (on) socket.pause();
        else socket.resume();
      }
    },
    drop(directions) {
      dropped = directions;
    },
    silenceOpen() {
      for (const silent of silenced) {
        for (const direction of BOTH_DIRECTIONS) silent.add(direction);
      }
    },
    async refuse(on) {
      if (on) server.close();
      else
        await new Promise<void>(resolve =>
          server.listen(port, '127.0.0.1', resolve),
        );
    },
    close() {
      closeConnections();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
  return proxy;
}
