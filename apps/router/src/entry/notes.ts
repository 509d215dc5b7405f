/** Decision lines within a rate, so that a flood of requests cannot fill logs. */
import type {Log} from '@parsleyarch/telemetry/log';
import type {Counter} from 'prom-client';

/** Lines that may be written in a second. */
const LINES_PER_SECOND = 400;

/** Creates the function that writes decision lines. */
export function createNotes(log: Log, dropped: Counter) {
  let second = 0;
  let lines = 0;
  return (decision: string, fields: Record<string, unknown>): void => {
    const now = Math.floor(performance.now() / 1_000);
    if (now !== second) {
      if (lines > LINES_PER_SECOND)
        log.warn({lines: lines - LINES_PER_SECOND}, 'decision lines dropped');
      second = now;
      lines = 0;
    }
    lines += 1;
    if (lines > LINES_PER_SECOND) dropped.inc();
    else log.info({decision, ...fields}, 'decision');
  };
}
