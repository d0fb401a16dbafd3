/** Command line of anvilpaddle: runs its processes and operator commands. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { GROUPS, SINGLES } from './cli/commands';
import { addConfigCommand } from './cli/configCommand';
import { EXIT_CODE } from './cli/exitCode';
import { addGroup, addSingle } from './cli/operatorCommand';
import { runEntry, runSidecar } from './cli/processCommand';
import { runDev } from './dev/dev';
import { addStandInCommand } from './dev/standInCommand';
import { stopOnSignal } from './process/stopOnSignal';

const HELP_COLUMNS = 100;

const getArguments = (): string[] => hideBin(process.argv);

const main = async (): Promise<void> => {
  const args = yargs(getArguments())
    .scriptName('anvilpaddle')
    .command(
      'entry',
      'Run an entry: the callers’ and operators’ API',
      (builder) =>
        builder.option('config', { type: 'string', demandOption: true, describe: 'INI file' }),
      ({ config }) => runEntry(config),
    )
    .command(
      'sidecar',
      'Run a sidecar beside one upstream',
      (builder) =>
        builder.option('config', { type: 'string', demandOption: true, describe: 'INI file' }),
      ({ config }) => runSidecar(config),
    )
    .command(
      'dev',
      'Run everything with stand-ins in one process, for trying it out',
      (builder) => builder.option('listen', { type: 'string', default: '127.0.0.1:8080' }),
      async ({ listen }) => stopOnSignal(await runDev(listen)),
    );
  addStandInCommand(args);
  addConfigCommand(args);
  GROUPS.forEach((group) => addGroup(args, group));
  SINGLES.forEach((command) => addSingle(args, command));
  await args
    .demandCommand(1, 'name a command; see --help')
    .strict()
    .wrap(HELP_COLUMNS)
    .help()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`);
      process.exit(EXIT_CODE.usage);
    })
    .parseAsync();
};

void main();
