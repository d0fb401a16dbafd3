import bunyan from 'bunyan';

/** Structured logger; fields never hold keys, prompts or answers. */
export type Logger = bunyan;

/** Levels that settings may name. */
export const LOG_LEVELS = ['trace', 'debug', 'info', 'warn', 'error', 'fatal'] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Logger that writes bunyan records to a stream, by default standard error. */
export const newLogger = (
  name: string,
  level: LogLevel,
  stream: NodeJS.WritableStream = process.stderr,
): Logger => bunyan.createLogger({ name, level, streams: [{ stream, level }] });

/** Logger that writes nothing, for tests. */
export const newSilentLogger = (): Logger =>
  bunyan.createLogger({ name: 'silent', level: bunyan.FATAL + 1 });

/** Message of anything that was thrown. */
export const getFaultMessage = (fault: unknown): string =>
  fault instanceof Error ? fault.message : String(fault);
