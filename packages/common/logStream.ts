/** Where log lines go: never waiting for their reader, and bounded in number. */
import { fstatSync } from 'node:fs';
import { Socket } from 'node:net';
import { BYTES_PER_KIB, MS_PER_SECOND } from './constants';

/** Lines of one kind that are written in a second; failures keep a budget of their own. */
const LINES_PER_SECOND = 60;
/** Unread bytes up to which lines are handed to the operating system. */
const MAX_UNREAD_BYTES = 256 * BYTES_PER_KIB;
const WARN_LEVEL = 40;

/** One log record as bunyan gives it to a raw stream. */
export interface LogRecord {
  readonly level: number;
  readonly msg: string;
}

/** Stream of log records. */
export interface LogStream {
  write(record: LogRecord): void;
}

/** What a log stream needs of its output. */
export interface LogOutput {
  readonly writableLength: number;
  write(text: string): boolean;
}

/** Stream that leaves out lines beyond a kind's budget or while the reader has stopped, and counts them. */
export const newLogStream = (output: LogOutput, getNowMs: () => number): LogStream => {
  let secondStartMs = getNowMs();
  let counts = new Map<string, number>();
  let leftOut = 0;

  const writeLine = (record: unknown): void => {
    output.write(`${JSON.stringify(record)}\n`);
  };

  const startSecond = (record: LogRecord, nowMs: number): void => {
    if (nowMs - secondStartMs < MS_PER_SECOND) return;
    secondStartMs = nowMs;
    counts = new Map();
    if (leftOut === 0 || output.writableLength > MAX_UNREAD_BYTES) return;
    writeLine({ ...record, level: WARN_LEVEL, msg: 'log lines left out', leftOut });
    leftOut = 0;
  };

  return {
    write: (record) => {
      startSecond(record, getNowMs());
      const kind = `${record.level >= WARN_LEVEL ? 'failure' : 'usual'} ${record.msg}`;
      const count = (counts.get(kind) ?? 0) + 1;
      counts.set(kind, count);
      if (count > LINES_PER_SECOND || output.writableLength > MAX_UNREAD_BYTES) leftOut += 1;
      else writeLine(record);
    },
  };
};

const STDOUT = 1;

/** Standard output that does not wait for its reader when it is a pipe or a socket. */
export const newStdoutOutput = (): LogOutput => {
  const kind = fstatSync(STDOUT);
  if (!kind.isFIFO() && !kind.isSocket()) return process.stdout;
  const socket = new Socket({ fd: STDOUT, readable: false, writable: true });
  // A reader that has gone away costs lines, not requests.
  socket.on('error', () => undefined);
  socket.unref();
  return socket;
};
