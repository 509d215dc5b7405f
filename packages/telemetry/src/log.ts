/** Structured logs, with one line for each routing or placement decision. */
import {pino, type Logger} from 'pino';

/** A decision with its candidates, the choice and the reason for it. */
export interface DecisionLine {
  /** Kind of decision, such as `route` or `allocator`. */
  readonly decision: string;
  readonly requestId?: string;
  readonly candidates?: readonly string[];
  readonly choice: string;
  readonly reason: string;
  readonly [extra: string]: unknown;
}

export type Log = Logger;

/** Creates a logger that writes to standard output asynchronously. */
export function createLog(level: string, node: string): Log {
  return pino({level, base: {node}}, pino.destination({sync: false}));
}

export function logDecision(log: Log, line: DecisionLine): void {
  log.info(line, 'decision');
}
