import bunyan from 'bunyan';
import { newLogStream, newStdoutOutput } from './logStream';

/** Structured logger; fields never hold keys, prompts or answers. */
export type Logger = bunyan;

/** Levels that settings may name. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Logger that writes bunyan records to standard error. */
export const newLogger = (name: string, level: LogLevel): Logger =>
  bunyan.createLogger({ name, level, streams: [{ stream: process.stderr, level }] });

/** Logger that writes bunyan records to standard output without ever waiting for its reader. */
export const newNonBlockingLogger = (name: string, level: LogLevel): Logger => {
  const stream = newLogStream(newStdoutOutput(), () => performance.now());
  // The type of a raw stream's argument is missing in bunyan's declarations.
  const raw = stream as unknown as NodeJS.WritableStream;
  return bunyan.createLogger({ name, level, streams: [{ type: 'raw', stream: raw, level }] });
};

/** Logger that writes nothing, for tests. */
export const newSilentLogger = (): Logger =>
  bunyan.createLogger({ name: 'silent', level: bunyan.FATAL + 1 });

/** Message of anything that was thrown. */
export const getErrorMessage = (fault: unknown): string =>
  fault instanceof Error ? fault.message : String(fault);
