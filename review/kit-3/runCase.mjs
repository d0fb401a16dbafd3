/** Runs a case: writes its record, ends what it started, and exits with its result. */
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { endGateways } from './cluster.mjs';

const EXIT = { held: 0, broken: 1, notRun: 2 };
/** A case ends before the 120 seconds that it may take. */
const LIMIT_MS = 115_000;

/** Whether the case is played with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
 * `play` gets a function that adds a line to the record, and returns the number of violations; lines that begin
 * with RESULT are printed too.
 */
export const runCase = async (moduleUrl, play) => {
  const file = join(dirname(fileURLToPath(moduleUrl)), 'record.txt');
  const startedMs = performance.now();
  const lines = [];
  const note = (text) => {
    const seconds = ((performance.now() - startedMs) / 1000).toFixed(3);
    lines.push(`${seconds.padStart(8)} ${text}`);
    if (text.startsWith('RESULT')) process.stdout.write(`${text}\n`);
  };
  const end = (code) => {
    endGateways();
    writeFileSync(file, `${lines.join('\n')}\n`);
    process.exit(code);
  };
  setTimeout(() => {
    note('RESULT the case took too long');
    end(EXIT.notRun);
  }, LIMIT_MS);
  note(hasTrouble ? 'played with the disruption' : 'played without the disruption');
  try {
    const violations = await play(note);
    note(`RESULT ${violations} violations: the rule ${violations > 0 ? 'was broken' : 'held'}`);
    end(violations > 0 ? EXIT.broken : EXIT.held);
  } catch (error) {
    note(`RESULT the case could not run: ${error.stack}`);
    end(EXIT.notRun);
  }
};
