/** Record of one script: what was sent, answered and run. */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Creates a record, which `write` stores as record.txt in the folder of the case. */
export const newRecord = (folder) => {
  const lines = [];
  const startedMs = performance.now();
  return {
    add: (text) =>
      lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3).padStart(8)} s  ${text}`),
    write: () => writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`),
  };
};
