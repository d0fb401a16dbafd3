// Writes the record of a case: what was sent, answered and run, with times in ms from the start.
import { writeFileSync } from 'node:fs';
import { randomBytes } from 'node:crypto';
import { endGateways } from './gateways.mjs';

/** Creates a record that is written to `file` at the end. */
export const newRecord = (file) => {
  const startMs = performance.now();
  const lines = [];
  const say = (text) => {
    lines.push(`${String(Math.round(performance.now() - startMs)).padStart(7)} ${text}`);
  };
  return {
    say,
    show: (text) => {
      say(text);
      process.stdout.write(`${text}\n`);
    },
    write: () => writeFileSync(file, `${lines.join('\n')}\n`),
  };
};

/** Id of a request, an item or a job. */
export const newId = () => randomBytes(8).toString('hex');

/** Number of values by their text. */
export const count = (values) =>
  JSON.stringify(
    values.reduce((counts, value) => ({ ...counts, [value]: (counts[value] ?? 0) + 1 }), {}),
  );

/**
 * Runs a case to its end. `play` returns whether the rule held; the parts that it starts are closed in any
 * case. The exit status is 0 if it held, 1 if it was broken, 2 if the case couldn't run.
 */
export const runCase = async (file, limitMs, play) => {
  const record = newRecord(file);
  const closers = [];
  const close = async () => {
    for (const closer of closers.reverse()) await closer();
    await endGateways();
  };
  const limit = setTimeout(async () => {
    record.show('the case took too long');
    record.write();
    await close();
    process.exit(2);
  }, limitMs);
  let status = 2;
  try {
    status = (await play(record, (closer) => closers.push(closer))) ? 0 : 1;
  } catch (error) {
    record.show(`the case couldn't run: ${error.stack}`);
  }
  clearTimeout(limit);
  await close();
  record.show(['the rule held', 'the rule was broken', "the case couldn't run"][status]);
  record.write();
  process.exit(status);
};
