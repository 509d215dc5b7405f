/** Structured logs, with one line for each routing or placement decision. */
import {pino, type Logger} from 'pino';

/** One decision: what could be chosen, what was, and why. */
export interface DecisionLine {
  /** Kind of decision, such as `route` or `allocator`. */
  readonly decision: string;
  readonly requestId?: string;
  readonly candidates?: readonly string[];
  readonly choice: string;
  readonly reason: string;
  readonly [extra: string]: unknown;
}

/** The log of one process. */
export type Log = Logger;

/** Creates the log of one process; lines go to standard output. */
export function createLog(level: string, node: string): Log {
  return pino({level, base: {node}}, pino.destination({sync: false}));
}

/** Writes a decision line. */
export function logDecision(log: Log, line: DecisionLine): void {
  log.info(line, 'decision');
}
