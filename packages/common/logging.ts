/** Structured loggers. */
import bunyan from 'bunyan';
import { newLogStream, newStdoutOutput } from './logStream';

/** Structured logger; fields must never contain API keys, prompts or responses. */
export type Logger = bunyan;

/** Log levels that the process settings accept. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Logger that writes bunyan records to standard error. */
export const newLogger = (name: string, level: LogLevel): Logger =>
  bunyan.createLogger({ name, level, streams: [{ stream: process.stderr, level }] });

/** Logger that writes bunyan records to standard output; drops lines instead of blocking. */
export const newNonBlockingLogger = (name: string, level: LogLevel): Logger => {
  const stream = newLogStream(newStdoutOutput(), () => performance.now());
  // Bunyan's type declarations do not cover the record that a raw stream receives.
  const rawStream = stream as unknown as NodeJS.WritableStream;
  return bunyan.createLogger({ name, level, streams: [{ type: 'raw', stream: rawStream, level }] });
};

/** Logger that writes nothing; for tests. */
export const newSilentLogger = (): Logger =>
  bunyan.createLogger({ name: 'silent', level: bunyan.FATAL + 1 });

/** Message of a thrown value, which need not be an Error. */
export const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
