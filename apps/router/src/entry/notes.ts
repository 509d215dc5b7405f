/** Rate-limited decision lines, so that a flood of requests cannot fill the logs. */
import type {Log} from '@parsleyarch/telemetry/log';
import type {Counter} from 'prom-client';

const MAX_LINES_PER_SECOND = 400;

/** Creates a function that logs decision lines and counts the dropped ones. */
export function createDecisionLog(log: Log, dropped: Counter) {
  let second = 0;
  let lines = 0;
  return (decision: string, fields: Record<string, unknown>): void => {
    const now = Math.floor(performance.now() / 1_000);
    if (now !== second) {
      if (lines > MAX_LINES_PER_SECOND)
        log.warn(
          {lines: lines - MAX_LINES_PER_SECOND},
          'decision lines dropped',
        );
      second = now;
      lines = 0;
    }
    lines += 1;
    if (lines > MAX_LINES_PER_SECOND) dropped.inc();
    else log.info({decision, ...fields}, 'decision');
  };
}
