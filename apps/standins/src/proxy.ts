/** A TCP proxy that injects faults between two processes. */
import * as net from 'node:net';

/** What goes wrong on a connection. */
export interface ProxyFault {
  /** Delay of each chunk, milliseconds. */
  readonly delayMs?: number;
  /** Cuts the connection once this many bytes went to the server. */
  readonly cutUpAt?: number;
  /** Cuts the connection once this many bytes came from the server. */
  readonly cutDownAt?: number;
  /** Accepts bytes and passes none on. */
  readonly blackHole?: boolean;
  /** Sends what the server answered twice. */
  readonly answerTwice?: boolean;
}

/** A running proxy. */
export interface FaultProxy {
  readonly port: number;
  readonly address: string;
  /** Bytes passed on so far, both ways. */
  readonly passed: {bytes: number};
  /** Chosen anew for each connection, by its number from 0. */
  fault: (connection: number) => ProxyFault;
  /** Refuses connections and cuts those that are open. */
  partition(on: boolean): void;
  /** Holds all bytes back, or lets them go on; connections stay open. */
  freeze(on: boolean): void;
  /** Stops or starts listening; open connections go on. */
  refuse(on: boolean): Promise<void>;
  close(): Promise<void>;
}

function pass(
  from: net.Socket,
  to: net.Socket,
  fault: ProxyFault,
  cutAt: number | undefined,
  twice: boolean,
  total: {bytes: number},
): void {
  let passed = 0;
  from.on('data', chunk => {
    if (fault.blackHole) return;
    const send = () => {
      const left = cutAt === undefined ? chunk.length : cutAt - passed;
      const part = chunk.subarray(0, Math.max(0, left));
      passed += part.length;
      total.bytes += part.length;
      if (!to.destroyed) to.write(part);
      if (twice && !to.destroyed) to.write(part);
      if (part.length < chunk.length) {
        to.end();
        from.resetAndDestroy();
      }
    };
    if (fault.delayMs) setTimeout(send, fault.delayMs);
    else send();
  });
  from.on('close', () => setTimeout(() => to.destroy(), fault.delayMs ?? 0));
  from.on('error', () => to.destroy());
}

/** Starts a proxy before a port on loopback. */
export async function startProxy(target: number): Promise<FaultProxy> {
  const sockets = new Set<net.Socket>();
  let parted = false;
  let connections = 0;
  const passed = {bytes: 0};
  const server = net.createServer(client => {
    if (parted) {
      client.resetAndDestroy();
      return;
    }
    const fault = proxy.fault(connections);
    connections += 1;
    const upstream = net.connect(target, '127.0.0.1');
    for (const socket of [client, upstream]) {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
    }
    pass(client, upstream, fault, fault.cutUpAt, false, passed);
    pass(
      upstream,
      client,
      fault,
      fault.cutDownAt,
      fault.answerTwice ?? false,
      passed,
    );
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as net.AddressInfo;
  const cutAll = () => {
    for (const socket of sockets) socket.destroy();
  };
  const proxy: FaultProxy = {
    port,
    address: `http://127.0.0.1:${port}`,
    passed,
    fault: () => ({}),
    partition(on) {
      parted = on;
      if (on) cutAll();
    },
    freeze(on) {
      for (const socket of sockets) {
        if (on) socket.pause();
        else socket.resume();
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
      cutAll();
      return new Promise(resolve => server.close(() => resolve()));
    },
  };
  return proxy;
}
