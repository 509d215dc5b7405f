/** Program for stand-ins, demo and measurements; not part of a release. */
import yargs from 'yargs';
import {runDemo} from './demo.js';
import {startEngine} from './engine.js';
import {MEASUREMENTS, runMeasurement} from './measures/run.js';
import {startRater, startVmList} from './platform.js';
import {startService} from './service.js';
import {startStore} from './store.js';

const port = {type: 'number', default: 0} as const;

function printAddress(server: {address: string}): void {
  console.log(server.address);
}

void yargs(process.argv.slice(2))
  .scriptName('standins')
  .command('demo', 'run the demonstration against stand-ins', {}, async () => {
    const violations = await runDemo();
    process.exit(violations === 0 ? 0 : 1);
  })
  .command(
    'measure',
    'run one measurement',
    {
      scenario: {choices: Object.keys(MEASUREMENTS)},
      seed: {type: 'number', default: 1},
      json: {
        type: 'boolean',
        default: false,
        describe: 'print the result only',
      },
      list: {type: 'boolean', default: false, describe: 'list the scenarios'},
    },
    async argv => {
      if (argv.list || !argv.scenario) {
        console.log(Object.keys(MEASUREMENTS).join('\n'));
        return;
      }
      const violations = await runMeasurement(
        argv.scenario,
        argv.seed,
        argv.json,
      );
      process.exit(violations === 0 ? 0 : 1);
    },
  )
  .command('store', 'run a key-value store', {port}, async argv =>
    printAddress((await startStore(argv.port)).server),
  )
  .command('vm-list', 'run a VM list', {port}, async argv =>
    printAddress((await startVmList(argv.port)).server),
  )
  .command('rater', 'run a rating service', {port}, async argv =>
    printAddress((await startRater(argv.port)).server),
  )
  .command('service', 'run a plain service', {port}, async argv =>
    printAddress((await startService(new Map(), argv.port)).server),
  )
  .command(
    'engine',
    'run a model engine',
    {port, versions: {type: 'string', array: true, demandOption: true}},
    async argv =>
      printAddress(
        (await startEngine({port: argv.port, versions: argv.versions})).server,
      ),
  )
  .demandCommand(1)
  .strict()
  .parse();
