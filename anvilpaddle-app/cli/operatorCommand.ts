/** Definition and execution of the operators' commands. */
import type { Argv, Options, PositionalOptions } from 'yargs';
import { newFailure, newOk, type Result } from '@anvilpaddle/common';
import { EXIT_CODE, type ExitCode } from './exitCode';
import { newOperatorClient, type OperatorClient, type OperatorError } from './operatorClient';

/** Arguments of a command as parsed by yargs. */
export type Arguments = Readonly<Record<string, unknown>>;

/** Output of a command, as JSON and as human-readable text. */
export interface Output {
  readonly json: unknown;
  readonly text: string;
}

/** Failure of a command: its exit code and the lines to print to standard error. */
export interface CommandError {
  readonly exitCode: ExitCode;
  readonly lines: readonly string[];
}

/** One command that calls the operators' API. */
export interface OperatorCommand {
  /** Command name and positional arguments in the notation of yargs. */
  readonly command: string;
  readonly describe: string;
  readonly positionals?: Readonly<Record<string, PositionalOptions>>;
  readonly options?: Readonly<Record<string, Options>>;
  /** Example command lines without the program's name and group, each with a description. */
  readonly examples: readonly (readonly [string, string])[];
  run(args: Arguments, client: OperatorClient): Promise<Result<Output, CommandError>>;
}

/** Commands that share their first word, such as `team`. */
export interface CommandGroup {
  readonly name: string;
  readonly describe: string;
  readonly commands: readonly OperatorCommand[];
}

/** Exit codes by the error code of the operators' API; any other code gives `failed`. */
const EXIT_CODE_BY_ERROR: Readonly<Record<string, ExitCode>> = {
  conflict: EXIT_CODE.conflict,
  invalid_request: EXIT_CODE.usage,
  platform_unavailable: EXIT_CODE.unavailable,
  stopping: EXIT_CODE.unavailable,
  unreachable: EXIT_CODE.unavailable,
};

/** Failure of a command whose call to the operators' API failed. */
export const newCommandFailure = (error: OperatorError) => {
  const knownOutcomeCode = EXIT_CODE_BY_ERROR[error.code] ?? EXIT_CODE.failed;
  const exitCode = error.run === 'unknown' ? EXIT_CODE.unknown : knownOutcomeCode;
  return newFailure<CommandError>({ exitCode, lines: error.details ?? [error.message] });
};

/** Failure of a command with invalid arguments. */
export const newUsageFailure = (...lines: string[]) =>
  newFailure<CommandError>({ exitCode: EXIT_CODE.usage, lines });

/** Value of a text argument; empty if it is missing. */
export const getText = (args: Arguments, name: string): string => {
  const value = args[name];
  return value === undefined || value === null ? '' : String(value);
};

/** Values of an argument that may be repeated or hold a list separated by commas. */
export const getTexts = (args: Arguments, name: string): string[] | undefined => {
  const value = args[name];
  if (value === undefined) return undefined;
  return [value]
    .flat()
    .flatMap((text) => String(text).split(','))
    .map((text) => text.trim())
    .filter((text) => text !== '');
};

const CONNECTION_OPTIONS: Readonly<Record<string, Options>> = {
  url: { type: 'string', describe: 'Base URL of an entry, or ANVILPADDLE_URL' },
  key: { type: 'string', describe: 'Operators’ key, or ANVILPADDLE_OPERATOR_KEY' },
  json: { type: 'boolean', default: false, describe: 'Print JSON' },
};

const getClient = (args: Arguments): Result<OperatorClient, CommandError> => {
  const url = getText(args, 'url') || (process.env.ANVILPADDLE_URL ?? '');
  const key = getText(args, 'key') || (process.env.ANVILPADDLE_OPERATOR_KEY ?? '');
  const errors = [
    ...(url === '' ? ['missing: --url or ANVILPADDLE_URL'] : []),
    ...(key === '' ? ['missing: --key or ANVILPADDLE_OPERATOR_KEY'] : []),
  ];
  if (errors.length > 0) return newUsageFailure(...errors);
  return newOk(newOperatorClient(url.replace(/\/+$/, ''), key));
};

const runCommand = async (command: OperatorCommand, args: Arguments): Promise<void> => {
  const client = getClient(args);
  const result = client.ok ? await command.run(args, client.value) : client;
  if (result.ok) {
    const { json, text } = result.value;
    process.stdout.write(`${args.json === true ? JSON.stringify(json, null, 2) : text}\n`);
    return;
  }
  const { exitCode, lines } = result.error;
  const error = { exit_code: exitCode, messages: lines };
  const text = args.json === true ? JSON.stringify({ error }, null, 2) : lines.join('\n');
  process.stderr.write(`${text}\n`);
  process.exitCode = exitCode;
};

const addCommand = (args: Argv, command: OperatorCommand, prefix: string): Argv =>
  args.command(
    command.command,
    command.describe,
    (builder) => {
      Object.entries(command.positionals ?? {}).forEach(([name, positional]) => {
        builder.positional(name, positional);
      });
      builder.options({ ...command.options, ...CONNECTION_OPTIONS });
      command.examples.forEach(([line, description]) => {
        builder.example(`$0 ${prefix}${line}`, description);
      });
      return builder;
    },
    (parsed) => runCommand(command, parsed),
  );

/** Adds a group of operators' commands to the command line. */
export const addCommandGroup = (args: Argv, group: CommandGroup): Argv =>
  args.command(group.name, group.describe, (builder) => {
    group.commands.forEach((command) => {
      addCommand(builder, command, `${group.name} `);
    });
    return builder.demandCommand(1, `name an action of ${group.name}; see --help`);
  });

/** Adds an operators' command that belongs to no group. */
export const addUngroupedCommand = (args: Argv, command: OperatorCommand): Argv =>
  addCommand(args, command, '');
