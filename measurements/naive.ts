import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { RandomRouter } from '@anvilpaddle/decisions';
import { runEntry, runSidecar } from 'anvilpaddle-app/cli/processCommand';
import type { LimitController } from 'anvilpaddle-app/controllers/limitController';
import { newStaticSplit } from './limitPolicies';
import { SingleQueueScheduler } from './singleQueueScheduler';

const newNaiveLimits: typeof newStaticSplit = newStaticSplit;

/** The program with naive versions: static split, random choice, one line for all work. */
const main = async (): Promise<void> => {
  const withConfig = (args: ReturnType<typeof yargs>) =>
    args.option('config', { type: 'string', demandOption: true });
  await yargs(hideBin(process.argv))
    .command('entry', 'entry', withConfig, ({ config }) =>
      runEntry(String(config), {
        newLimits: (parts) =>
          ({ ...newNaiveLimits(parts), status: () => ({}) }) as unknown as LimitController,
        newRouter: () => new RandomRouter(Math.random),
      }),
    )
    .command('sidecar', 'sidecar', withConfig, ({ config }) =>
      runSidecar(String(config), ({ slots }) => new SingleQueueScheduler(slots)),
    )
    .parseAsync();
};

void main();
