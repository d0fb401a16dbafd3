/** Command that runs one stand-in as a process of its own. */
import { readFileSync } from 'node:fs';
import type { Argv } from 'yargs';
import { parseAddress, type Address } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { newEngineStandIn, newPlainStandIn, newPlatformStandIn } from '@anvilpaddle/standins';
import { stopOnSignal } from '../process/stopOnSignal';

const ENGINE_OPTIONS = { models: ['small-chat'], slots: 4, prefillMs: 20, tokenMs: 5 } as const;

interface StandIn {
  readonly url: string;
  close(): Promise<void>;
}

const newPlatformWithVms = async (address: Address, vmsFile?: string): Promise<StandIn> => {
  const platform = await newPlatformStandIn(address);
  if (vmsFile !== undefined) platform.setVms(JSON.parse(readFileSync(vmsFile, 'utf8')) as Vm[]);
  return platform;
};

/** Functions that start a stand-in, by its name on the command line. */
const STAND_IN_FACTORIES = {
  platform: newPlatformWithVms,
  engine: (address: Address): Promise<StandIn> => newEngineStandIn(address, ENGINE_OPTIONS),
  plain: (address: Address): Promise<StandIn> => newPlainStandIn(address),
} as const;
type StandInName = keyof typeof STAND_IN_FACTORIES;

const runStandIn = async (name: StandInName, listen: string, vms?: string): Promise<void> => {
  const address = parseAddress(listen);
  if (address === undefined) throw new Error('--listen: expected HOST:PORT');
  const standIn = await STAND_IN_FACTORIES[name](address, vms);
  stopOnSignal({ stop: () => standIn.close() });
  process.stdout.write(`${JSON.stringify({ event: 'ready', url: standIn.url })}\n`);
};

/** Adds the command `stand-in NAME`, for running the system locally as separate processes. */
export const addStandInCommand = (args: Argv): void => {
  args.command(
    'stand-in <name>',
    'Run one stand-in of the platform or of an upstream; never for production',
    (builder) =>
      builder
        .positional('name', {
          choices: Object.keys(STAND_IN_FACTORIES) as StandInName[],
          demandOption: true,
          describe: 'what it stands in for',
        })
        .option('listen', { type: 'string', demandOption: true, describe: 'HOST:PORT' })
        .option('vms', { type: 'string', describe: 'JSON file with the VM list, for platform' }),
    ({ name, listen, vms }) => runStandIn(name, listen, vms),
  );
};
