/** Runs an entry node as a process. */
import {reportFailure} from '../cli/output.js';
import {createEntry} from './serve.js';
import {loadEntrySettings} from './settings.js';

/** Runs a node with the settings of a file until SIGTERM. */
export async function runEntry(file: string): Promise<void> {
  const settings = loadEntrySettings(file);
  if (settings.isErr()) return reportFailure(settings.error);
  const entry = createEntry(settings.value);
  const {log} = entry.node;
  process.once('SIGTERM', () => {
    void entry.stop().then(() => log.flush(() => process.exit(0)));
  });
  process.on('SIGHUP', () =>
    log.info('SIGHUP ignored; settings are read only at start'),
  );
  await entry.start();
}
