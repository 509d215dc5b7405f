/**
 * Starts the program. An entry node loads neither the command line nor the parts of
 * other commands, since its callers wait for its start after a loss of power.
 */

/** Settings file of an entry node, if the arguments ask for nothing else. */
function readEntryFile(args: readonly string[]): string | undefined {
  const [command, option, file] = args;
  const isSettings = option === '--settings' || option === '-s';
  return command === 'route' && isSettings && args.length === 3
    ? file
    : undefined;
}

async function main(args: string[]): Promise<void> {
  const file = readEntryFile(args);
  if (file === undefined)
    return (await import('./cli/command-line.js')).runCommandLine(args);
  const {runEntry} = await import('./entry/run.js');
  await runEntry(file);
}

void main(process.argv.slice(2));
