import { newLogStream, type LogOutput, type LogRecord } from '../logStream';

const newMemoryOutput = () => {
  const lines: LogRecord[] = [];
  const state = { writableLength: 0 };
  const output: LogOutput = {
    get writableLength() {
      return state.writableLength;
    },
    write: (text) => {
      lines.push(JSON.parse(text) as LogRecord);
      return true;
    },
  };
  return { lines, state, output };
};

const requestRecord = { level: 30, msg: 'request' };
const failureRecord = { level: 40, msg: 'attempt failed' };

describe('log stream', () => {
  it('limits lines per message and second, and counts the dropped ones', () => {
    const { lines, output } = newMemoryOutput();
    let nowMs = 0;
    const stream = newLogStream(output, () => nowMs);
    for (let index = 0; index < 1000; index += 1) stream.write(requestRecord);
    stream.write(failureRecord);
    nowMs = 1500;
    stream.write(requestRecord);

    expect(lines.filter(({ msg }) => msg === 'request')).toHaveLength(61);
    expect(lines.filter(({ msg }) => msg === 'attempt failed')).toHaveLength(1);
    expect(lines).toContainEqual(
      expect.objectContaining({ msg: 'log lines left out', leftOut: 940, level: 40 }),
    );
  });

  it('writes nothing while the reader has stopped, and logs the number of dropped lines afterwards', () => {
    const { lines, state, output } = newMemoryOutput();
    let nowMs = 0;
    const stream = newLogStream(output, () => nowMs);
    state.writableLength = 10 * 1024 * 1024;
    for (let index = 0; index < 50; index += 1) {
      nowMs += 500;
      stream.write(failureRecord);
    }
    expect(lines).toEqual([]);

    state.writableLength = 0;
    nowMs += 1000;
    stream.write(requestRecord);

    expect(lines.map(({ msg }) => msg)).toEqual(['log lines left out', 'request']);
  });
});
