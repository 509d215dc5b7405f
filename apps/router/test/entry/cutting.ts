/** Cuts the connections of one node to upstreams; other nodes keep theirs. */
import type {Entry} from '@parsleyarch/router/entry/serve';
import * as net from 'node:net';

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

/** Opens the new connections of a cut node, by how they fail. */
const OPENERS = {
  refused: () => net.connect(CLOSED_PORT, '127.0.0.1'),
  // A socket that never connects behaves like one whose packets are dropped.
  hanging: () => new net.Socket(),
} as const;

/** How the new connections of a cut node fail. */
export type Cut = keyof typeof OPENERS;
export const CUTS = Object.keys(OPENERS) as Cut[];

/** Which connections are cut. */
export interface CutScope {
  /** Whether open connections are reset; they live on otherwise. */
  readonly reset?: boolean;
  /** Ports of the upstreams that are cut; all by default. */
  readonly ports?: readonly number[];
}

/** Cuts a node from upstreams; returns a function that heals the cut. */
export function cutOff(
  {node: {agent}}: Entry,
  cut: Cut,
  {reset = false, ports}: CutScope = {},
): () => void {
  const open = agent.createConnection;
  agent.createConnection = (options, done) => {
    const isCut = !ports || ports.includes(Number(options.port));
    return isCut ? OPENERS[cut]() : open.call(agent, options, done);
  };
  if (reset) {
    const sockets = Object.values(agent.sockets).flat();
    for (const socket of sockets) socket?.resetAndDestroy();
  }
  return () => {
    agent.createConnection = open;
  };
}
