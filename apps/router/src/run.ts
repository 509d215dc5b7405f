/** Runs a node as a process. */
import {reportFailure} from './cli/output.js';
import {startNode} from './serve.js';
import {loadSettings} from './settings.js';

/** Runs a node with the settings of a file until SIGTERM or SIGINT. */
export async function runNode(file: string): Promise<void> {
  const settings = loadSettings(file);
  if (settings.isErr()) return reportFailure(settings.error);
  const running = await startNode(settings.value);
  const stop = () => {
    void running.stop().then(() => {
      // Idle keep-alive sockets would delay the end of the process.
      running.node.log.flush(() => process.exit(0));
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
