/** The command line of the one binary: the node and the operators' client. */
import {messageOf} from '@parsleyarch/errors/failure';
import yargs, {type Argv} from 'yargs';
import * as commands from './cli/commands.js';
import {fail, type OutputForm} from './cli/output.js';
import {createEntry} from './entry/serve.js';
import {loadEntrySettings} from './entry/settings.js';
import {startNode} from './serve.js';
import {loadSettings} from './settings.js';

const VERSION = '0.1.0';

async function serve(file: string): Promise<void> {
  const settings = loadSettings(file);
  if (settings.isErr()) return fail(settings.error);
  const running = await startNode(settings.value);
  const stop = () => {
    void running.stop().then(() => {
      running.node.log.flush();
      // Keep-alive sockets of ended calls would hold the process for a while.
      setImmediate(() => process.exit(0));
    });
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}

async function route(file: string): Promise<void> {
  const settings = loadEntrySettings(file);
  if (settings.isErr()) return fail(settings.error);
  const entry = createEntry(settings.value);
  const {log} = entry.node;
  process.once('SIGTERM', () => {
    void entry.stop().then(() => log.flush(() => process.exit(0)));
  });
  process.on('SIGHUP', () => log.info('settings are read at the next start'));
  await entry.start();
}

interface RemoteArguments {
  server: string;
  key?: string;
  output: string;
}

function targetOf({server, key, output}: RemoteArguments): commands.Target {
  const given = key ?? process.env['PARSLEYARCH_KEY'] ?? '';
  return {remote: {server, key: given}, form: output as OutputForm};
}

function remoteOptions<T>(builder: Argv<T>) {
  return builder
    .option('server', {
      type: 'string',
      default: process.env['PARSLEYARCH_SERVER'] ?? 'http://127.0.0.1:7002',
      describe: "address of a node's operator listener",
    })
    .option('key', {
      type: 'string',
      describe: 'operator key; default: environment PARSLEYARCH_KEY',
    })
    .option('output', {
      alias: 'o',
      choices: ['table', 'json'],
      default: 'table',
      describe: 'form of the output',
    });
}

const folder = {
  alias: 'f',
  type: 'string',
  demandOption: true,
  describe: 'folder or file of declarations (.json, .jsonc)',
} as const;
const prune = {
  type: 'boolean',
  default: false,
  describe: 'delete resources that are not declared',
} as const;
const name = {type: 'string', demandOption: true} as const;

function addResourceCommands(cli: Argv): Argv {
  return cli
    .command(
      'apply',
      'apply declarations as one change',
      y =>
        remoteOptions(y)
          .option('file', folder)
          .option('prune', prune)
          .option('dry-run', {type: 'boolean', default: false})
          .example('$0 apply -f declarations/ --dry-run', 'check only'),
      argv =>
        commands.apply(targetOf(argv), argv.file, {
          dryRun: argv.dryRun,
          prune: argv.prune,
        }),
    )
    .command(
      'diff',
      'show how declarations differ from what is in force',
      y => remoteOptions(y).option('file', folder).option('prune', prune),
      argv => commands.diff(targetOf(argv), argv.file, argv.prune),
    )
    .command(
      'get <kind> [name]',
      'show resources',
      y =>
        remoteOptions(y)
          .positional('kind', name)
          .positional('name', {type: 'string'})
          .example('$0 get Upstream -o json', 'all upstreams as JSON'),
      argv => commands.get(targetOf(argv), argv.kind, argv.name),
    )
    .command(
      'delete <kind> <name>',
      'delete a resource',
      y => remoteOptions(y).positional('kind', name).positional('name', name),
      argv => commands.remove(targetOf(argv), argv.kind, argv.name),
    )
    .command(
      'watch',
      'print each change as it is accepted',
      y => remoteOptions(y).option('since', {type: 'number', default: 0}),
      argv => commands.watch(targetOf(argv), argv.since),
    )
    .command(
      'status',
      'show on how many nodes the newest revision is in force',
      y => remoteOptions(y),
      argv => commands.status(targetOf(argv)),
    )
    .command(
      'explain <request>',
      'show the decisions that a request went through',
      y => remoteOptions(y).positional('request', name),
      argv => commands.explain(targetOf(argv), argv.request),
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
          .positional('name', name)
          .example('$0 domain out gulberg', 'no new work in gulberg'),
      argv => commands.domain(targetOf(argv), argv.action, argv.name),
    )
    .command(
      'upstream drain <name>',
      'send an upstream no new work',
      y =>
        remoteOptions(y)
          .positional('name', name)
          .option('undo', {type: 'boolean', default: false}),
      argv => commands.drain(targetOf(argv), argv.name, argv.undo),
    )
    .command(
      'withdraw <name>',
      'withdraw a version from all sessions',
      y => remoteOptions(y).positional('name', name),
      argv => commands.withdraw(targetOf(argv), argv.name),
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
          .positional('name', name)
          .option('model', {type: 'string'})
          .option('from', {type: 'string'})
          .option('to', {type: 'string'})
          .option('steps', {type: 'number', array: true})
          .example(
            '$0 rollout start h2 --model hymn --from hymn-1 --to hymn-2',
            'start with the usual steps',
          ),
      argv =>
        commands.rollout(targetOf(argv), argv.action, argv.name, {
          model: argv.model,
          from: argv.from,
          to: argv.to,
          steps: argv.steps,
        }),
    );
}

function main(args: string[]): void {
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
      argv => serve(argv.settings),
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
      argv => route(argv.settings),
    )
    .command(
      'validate',
      'check declarations without asking a node',
      y => y.option('file', folder),
      argv => commands.validate(argv.file),
    );
  void addServiceCommands(addResourceCommands(cli))
    .demandCommand(1, 'give a command; see --help')
    .strict()
    .fail((text, error) => {
      console.error(`error: ${error ? messageOf(error) : text}`);
      process.exitCode = 2;
    })
    .parse();
}

main(process.argv.slice(2));
