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

/** Bytes that are written together; a system call for each line is costly. */
const MIN_WRITE_BYTES = 4_096;
/** Longest time for which fewer bytes wait, milliseconds. */
const MAX_WRITE_DELAY_MS = 500;

/**
 * Creates a logger that writes to standard output asynchronously. What waits is
 * written when the process exits, also after an uncaught error.
 */
export function createLog(level: string, node: string): Log {
  const destination = pino.destination({
    sync: false,
    minLength: MIN_WRITE_BYTES,
    periodicFlush: MAX_WRITE_DELAY_MS,
  });
  return pino({level, base: {node}}, destination);
}

export function logDecision(log: Log, line: DecisionLine): void {
  log.info(line, 'decision');
}
