/** Entry point of the gateway with baseline policies; used by the end-to-end measurement. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { RandomRouter } from '@anvilpaddle/decisions';
import { runEntry, runSidecar } from 'anvilpaddle-app/cli/processCommand';
import type { LimitController } from 'anvilpaddle-app/controllers/limitController';
import { newStaticSplit } from './limitPolicies';
import { SingleQueueScheduler } from './singleQueueScheduler';

const newBaselineLimits: typeof newStaticSplit = newStaticSplit;

/**
 * Runs an entry or a sidecar that splits rate limits statically, picks upstreams at random and
 * queues online and batch work together.
 */
const main = async (): Promise<void> => {
  const addConfigOption = (args: ReturnType<typeof yargs>) =>
    args.option('config', { type: 'string', demandOption: true });
  await yargs(hideBin(process.argv))
    .command('entry', 'entry', addConfigOption, ({ config }) =>
      runEntry(String(config), {
        newLimits: (dependencies) =>
          ({
            ...newBaselineLimits(dependencies),
            status: () => ({}),
          }) as unknown as LimitController,
        newRouter: () => new RandomRouter(Math.random),
      }),
    )
    .command('sidecar', 'sidecar', addConfigOption, ({ config }) =>
      runSidecar(String(config), ({ slots }) => new SingleQueueScheduler(slots)),
    )
    .parseAsync();
};

void main();
