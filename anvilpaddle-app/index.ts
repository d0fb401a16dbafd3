import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EXIT_CODE } from './cli/exitCode';
import { runEntry, runSidecar, stopOnSignal } from './cli/processCommand';
import { runDev } from './dev/dev';

const getArguments = (): string[] => hideBin(process.argv);

const main = async (): Promise<void> => {
  await yargs(getArguments())
    .scriptName('anvilpaddle')
    .command(
      'entry',
      'Run an entry: the callers’ and operators’ API',
      (args) => args.option('config', { type: 'string', demandOption: true, describe: 'INI file' }),
      ({ config }) => runEntry(config),
    )
    .command(
      'sidecar',
      'Run a sidecar beside one upstream',
      (args) => args.option('config', { type: 'string', demandOption: true, describe: 'INI file' }),
      ({ config }) => runSidecar(config),
    )
    .command(
      'dev',
      'Run everything with stand-ins in one process, for trying it out',
      (args) => args.option('listen', { type: 'string', default: '127.0.0.1:8080' }),
      async ({ listen }) => stopOnSignal(await runDev(listen)),
    )
    .demandCommand(1, 'name a command')
    .strict()
    .help()
    .fail((message, fault) => {
      process.stderr.write(`${message ?? fault.message}\n`);
      process.exit(EXIT_CODE.usage);
    })
    .parseAsync();
};

void main();
