import type { Argv } from 'yargs';
import {
  checkSettingsFile,
  PROCESS_ROLE,
  type ProcessRole,
} from '../processSettings/checkSettingsFile';
import { EXIT_CODE } from './exitCode';

const runCheck = (files: readonly string[], role: ProcessRole | undefined, json: boolean): void => {
  const results = files.map((file) => ({ file, result: checkSettingsFile(file, role) }));
  if (json) {
    const shown = results.map(({ file, result }) =>
      result.ok ? { file, role: result.value, faults: [] } : { file, faults: result.error },
    );
    process.stdout.write(`${JSON.stringify(shown, null, 2)}\n`);
  } else {
    results.forEach(({ file, result }) => {
      if (result.ok) process.stdout.write(`${file}: good settings of a process: ${result.value}\n`);
      else process.stderr.write(`${result.error.join('\n')}\n`);
    });
  }
  if (results.some(({ result }) => !result.ok)) process.exitCode = EXIT_CODE.usage;
};

/** Adds `config check FILE`. */
export const addConfigCommand = (args: Argv): Argv =>
  args.command('config', 'Settings of processes', (group) =>
    group
      .command(
        'check <files..>',
        'Check INI files of entries and sidecars without starting anything',
        (builder) =>
          builder
            .positional('files', {
              type: 'string',
              array: true,
              demandOption: true,
              describe: 'INI files',
            })
            .option('role', {
              choices: Object.values(PROCESS_ROLE),
              describe: 'entry or sidecar; by default the sections tell',
            })
            .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
            .example('$0 config check entry.ini sidecar.ini', 'every fault at once; exit code 2'),
        ({ files, role, json }) => runCheck(files, role, json),
      )
      .demandCommand(1, 'name an action of config; see --help'),
  );
