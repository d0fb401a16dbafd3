/** Handling of termination signals. */
import { EXIT_CODE } from '../cli/exitCode';
import type { Program } from './program';

/**
 * Stops the program on SIGTERM or SIGINT and exits the process once it has stopped. A program that
 * is still starting is stopped once it has started.
 */
export const stopOnSignal = (program: Program | Promise<Program>): void => {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    Promise.resolve(program)
      .then((started) => started.stop())
      .then(
        () => process.exit(EXIT_CODE.ok),
        () => process.exit(EXIT_CODE.failed),
      );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};
