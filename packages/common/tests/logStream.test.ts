import { newLogStream, type LogOutput, type LogRecord } from '../logStream';

const newOutput = () => {
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

const usual = { level: 30, msg: 'request' };
const failure = { level: 40, msg: 'attempt failed' };

describe('log stream', () => {
  it('keeps to a budget a kind and a second, and counts what it leaves out', () => {
    const { lines, output } = newOutput();
    let nowMs = 0;
    const stream = newLogStream(output, () => nowMs);
    for (let index = 0; index < 1000; index += 1) stream.write(usual);
    stream.write(failure);
    nowMs = 1500;
    stream.write(usual);

    expect(lines.filter(({ msg }) => msg === 'request')).toHaveLength(61);
    expect(lines.filter(({ msg }) => msg === 'attempt failed')).toHaveLength(1);
    expect(lines).toContainEqual(
      expect.objectContaining({ msg: 'log lines left out', leftOut: 940, level: 40 }),
    );
  });

  it('writes nothing while its reader has stopped, and says so afterwards', () => {
    const { lines, state, output } = newOutput();
    let nowMs = 0;
    const stream = newLogStream(output, () => nowMs);
    state.writableLength = 10 * 1024 * 1024;
    for (let index = 0; index < 50; index += 1) {
      nowMs += 500;
      stream.write(failure);
    }
    expect(lines).toEqual([]);

    state.writableLength = 0;
    nowMs += 1000;
    stream.write(usual);

    expect(lines.map(({ msg }) => msg)).toEqual(['log lines left out', 'request']);
  });
});
