/**
 * Command line: runs a node or an entry node, and the client for operators.
 * `serve` runs a node that is configured by declarations that operators apply;
 * `route` runs an entry node that is configured by the platform's store.
 */
import {messageOf} from '@parsleyarch/errors/failure';
import yargs, {type Argv} from 'yargs';
import * as commands from './commands.js';
import type {OutputFormat} from './output.js';

const VERSION = '0.1.0';

interface RemoteArguments {
  server: string;
  key?: string;
  output: string;
}

function commandContext({
  server,
  key,
  output,
}: RemoteArguments): commands.CommandContext {
  const bearerKey = key ?? process.env['PARSLEYARCH_KEY'] ?? '';
  return {remote: {server, key: bearerKey}, format: output as OutputFormat};
}

function remoteOptions<T>(builder: Argv<T>) {
  return builder
    .option('server', {
      type: 'string',
      default: process.env['PARSLEYARCH_SERVER'] ?? 'http://127.0.0.1:7002',
      describe: "address of a node's listener for operators",
    })
    .option('key', {
      type: 'string',
      describe: 'operator key; default: environment PARSLEYARCH_KEY',
    })
    .option('output', {
      alias: 'o',
      choices: ['table', 'json'],
      default: 'table',
      describe: 'output format',
    });
}

const fileOption = {
  alias: 'f',
  type: 'string',
  demandOption: true,
  describe: 'directory or file of declarations (.json, .jsonc)',
} as const;
const pruneOption = {
  type: 'boolean',
  default: false,
  describe: 'delete resources that are not declared',
} as const;
const requiredString = {type: 'string', demandOption: true} as const;

function addResourceCommands(cli: Argv): Argv {
  return cli
    .command(
      'apply',
      'apply declarations as one change',
      y =>
        remoteOptions(y)
          .option('file', fileOption)
          .option('prune', pruneOption)
          .option('dry-run', {type: 'boolean', default: false})
          .example('$0 apply -f declarations/ --dry-run', 'check only'),
      argv =>
        commands.apply(commandContext(argv), argv.file, {
          dryRun: argv.dryRun,
          prune: argv.prune,
        }),
    )
    .command(
      'diff',
      'show how declarations differ from the configuration in force',
      y =>
        remoteOptions(y)
          .option('file', fileOption)
          .option('prune', pruneOption),
      argv => commands.diff(commandContext(argv), argv.file, argv.prune),
    )
    .command(
      'get <kind> [name]',
      'show resources',
      y =>
        remoteOptions(y)
          .positional('kind', requiredString)
          .positional('name', {type: 'string'})
          .example('$0 get Upstream -o json', 'all upstreams as JSON'),
      argv => commands.get(commandContext(argv), argv.kind, argv.name),
    )
    .command(
      'delete <kind> <name>',
      'delete a resource',
      y =>
        remoteOptions(y)
          .positional('kind', requiredString)
          .positional('name', requiredString),
      argv => commands.remove(commandContext(argv), argv.kind, argv.name),
    )
    .command(
      'watch',
      'print each change as it is accepted',
      y => remoteOptions(y).option('since', {type: 'number', default: 0}),
      argv => commands.watch(commandContext(argv), argv.since),
    )
    .command(
      'status',
      "show on how many nodes the called node's revision is in force",
      y => remoteOptions(y),
      argv => commands.status(commandContext(argv)),
    )
    .command(
      'explain <request>',
      'show the routing decisions of a request',
      y => remoteOptions(y).positional('request', requiredString),
      argv => commands.explain(commandContext(argv), argv.request),
    );
}

function addServiceCommands(cli: Argv): Argv {
  return cli
    .command(
      'domain <action> <name>',
      'take a failure domain out of service, or back in',
      y =>
        remoteOptions(y)
          .positional('action', {
            choices: ['out', 'in'] as const,
            demandOption: true,
          })
          .positional('name', requiredString)
          .example('$0 domain out gulberg', 'no new requests to gulberg'),
      argv => commands.domain(commandContext(argv), argv.action, argv.name),
    )
    .command(
      'upstream drain <name>',
      'stop sending new requests to an upstream',
      y =>
        remoteOptions(y)
          .positional('name', requiredString)
          .option('undo', {type: 'boolean', default: false}),
      argv => commands.drain(commandContext(argv), argv.name, argv.undo),
    )
    .command(
      'withdraw <name>',
      'withdraw a version from all sessions',
      y => remoteOptions(y).positional('name', requiredString),
      argv => commands.withdraw(commandContext(argv), argv.name),
    )
    .command(
      'rollout <action> <name>',
      'start, pause, resume or roll back a roll-out',
      y =>
        remoteOptions(y)
          .positional('action', {
            choices: ['start', 'pause', 'resume', 'roll-back'] as const,
            demandOption: true,
          })
          .positional('name', requiredString)
          .option('model', {type: 'string'})
          .option('from', {type: 'string'})
          .option('to', {type: 'string'})
          .option('steps', {type: 'number', array: true})
          .example(
            '$0 rollout start h2 --model hymn --from hymn-1 --to hymn-2',
            'start with the default steps',
          ),
      argv =>
        commands.rollout(commandContext(argv), argv.action, argv.name, {
          model: argv.model,
          from: argv.from,
          to: argv.to,
          steps: argv.steps,
        }),
    );
}

/** Runs the command that the arguments name. */
export function runCommandLine(args: string[]): void {
  const cli = yargs(args)
    .scriptName('parsleyarch')
    .version(VERSION)
    .usage('$0 <command>\n\nModel-aware router for versions and cascades.')
    .command(
      'serve',
      'run a node',
      y =>
        y
          .option('settings', {
            alias: 's',
            type: 'string',
            demandOption: true,
            describe: 'settings file, JSON with comments',
          })
          .example('$0 serve -s node.jsonc', 'run until SIGTERM'),
      async argv => (await import('../run.js')).runNode(argv.settings),
    )
    .command(
      'route',
      "run an entry node on the platform's declarations",
      y =>
        y
          .option('settings', {
            alias: 's',
            type: 'string',
            demandOption: true,
            describe: 'settings file, JSON with comments',
          })
          .example('$0 route -s entry.jsonc', 'run until SIGTERM'),
      async argv => (await import('../entry/run.js')).runEntry(argv.settings),
    )
    .command(
      'validate',
      'check declarations without contacting a node',
      y => y.option('file', fileOption),
      argv => commands.validate(argv.file),
    );
  void addServiceCommands(addResourceCommands(cli))
    .demandCommand(1, 'no command given; see --help')
    .strict()
    .fail((text, error) => {
      console.error(`error: ${error ? messageOf(error) : text}`);
      process.exitCode = 2;
    })
    .parse();
}
