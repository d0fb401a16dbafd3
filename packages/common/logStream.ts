/** Log stream that never blocks on its reader and limits the rate of each message. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { BYTES_PER_KIB, MS_PER_SECOND } from './constants';

/**
 * Lines with the same message that are written per second. Warnings and errors are counted apart
 * from lower levels, so that frequent lines of requests do not suppress failures.
 */
const MAX_LINES_PER_SECOND = 60;
/** Lines are dropped while more than this is buffered because the reader does not keep up. */
const MAX_BUFFERED_BYTES = 256 * BYTES_PER_KIB;
const WARN_LEVEL = 40;

/** Log record as bunyan passes it to a raw stream. */
export interface LogRecord {
  readonly level: number;
  readonly msg: string;
}

/** Stream of log records. */
export interface LogStream {
  write(record: LogRecord): void;
}

/** Destination of log lines; the part of a writable stream that a log stream uses. */
export interface LogOutput {
  /** Bytes buffered in the process. */
  readonly writableLength: number;
  write(text: string): boolean;
}

/**
 * Drops lines beyond the rate limit of their message, or while the reader does not keep up. The
 * number of dropped lines is logged before the first record of a later second, once the reader
 * keeps up again.
 */
export const newLogStream = (output: LogOutput, getNowMs: () => number): LogStream => {
  let secondStartMs = getNowMs();
  let lineCounts = new Map<string, number>();
  let dropped = 0;

  const writeLine = (record: unknown): void => {
    output.write(`${JSON.stringify(record)}\n`);
  };

  const startNextSecond = (record: LogRecord, nowMs: number): void => {
    if (nowMs - secondStartMs < MS_PER_SECOND) return;
    secondStartMs = nowMs;
    lineCounts = new Map();
    if (dropped === 0 || output.writableLength > MAX_BUFFERED_BYTES) return;
    writeLine({ ...record, level: WARN_LEVEL, msg: 'log lines left out', leftOut: dropped });
    dropped = 0;
  };

  return {
    write: (record) => {
      startNextSecond(record, getNowMs());
      const key = `${record.level >= WARN_LEVEL ? 'failure' : 'usual'} ${record.msg}`;
      const count = (lineCounts.get(key) ?? 0) + 1;
      lineCounts.set(key, count);
      if (count > MAX_LINES_PER_SECOND || output.writableLength > MAX_BUFFERED_BYTES) dropped += 1;
      else writeLine(record);
    },
  };
};

const STDOUT_FD = 1;

/** Standard output; writes do not block when it is a pipe or a socket. */
export const newStdoutOutput = (): LogOutput => {
  const stats = fstatSync(STDOUT_FD);
  if (!stats.isFIFO() && !stats.isSocket()) return process.stdout;
  const socket = new Socket({ fd: STDOUT_FD, readable: false, writable: true });
  // When the reader closes its end, log lines are lost but requests are still served.
  socket.on('error', () => undefined);
  socket.unref();
  return socket;
};
