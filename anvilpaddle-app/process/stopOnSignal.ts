/** Handling of termination signals. */
import { EXIT_CODE } from '../cli/exitCode';
import type { Program } from './program';

/** Stops the program on SIGTERM or SIGINT and exits the process once it has stopped. */
export const stopOnSignal = (program: Program): void => {
  let isStopping = false;
  const stop = (): void => {
    if (isStopping) return;
    isStopping = true;
    program.stop().then(
      () => process.exit(EXIT_CODE.ok),
      () => process.exit(EXIT_CODE.failed),
    );
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
};
