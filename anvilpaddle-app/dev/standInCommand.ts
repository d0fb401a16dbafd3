import { readFileSync } from 'node:fs';
import type { Argv } from 'yargs';
import { parseAddress, type Address } from '@anvilpaddle/common';
import type { Vm } from '@anvilpaddle/platform';
import { newEngineStandIn, newPlainStandIn, newPlatformStandIn } from '@anvilpaddle/standins';
import { stopOnSignal } from '../process/stopOnSignal';

const ENGINE = { models: ['small-chat'], slots: 4, prefillMs: 20, tokenMs: 5 } as const;

interface StandIn {
  readonly url: string;
  close(): Promise<void>;
}

const newPlatformWithVms = async (address: Address, vmsFile?: string): Promise<StandIn> => {
  const platform = await newPlatformStandIn(address);
  if (vmsFile !== undefined) platform.setVms(JSON.parse(readFileSync(vmsFile, 'utf8')) as Vm[]);
  return platform;
};

/** Stand-ins by name. */
const STAND_INS = {
  platform: newPlatformWithVms,
  engine: (address: Address): Promise<StandIn> => newEngineStandIn(address, ENGINE),
  plain: (address: Address): Promise<StandIn> => newPlainStandIn(address),
} as const;
type StandInName = keyof typeof STAND_INS;

const runStandIn = async (name: StandInName, listen: string, vms?: string): Promise<void> => {
  const address = parseAddress(listen);
  if (address === undefined) throw new Error('--listen: expected HOST:PORT');
  const standIn = await STAND_INS[name](address, vms);
  stopOnSignal({ stop: () => standIn.close() });
  process.stdout.write(`${JSON.stringify({ event: 'ready', url: standIn.url })}\n`);
};

/** Adds `anvilpaddle stand-in NAME`, for trying out a fleet of separate processes. */
export const addStandInCommand = (args: Argv): void => {
  args.command(
    'stand-in <name>',
    'Run one stand-in of the platform or of an upstream; never for production',
    (builder) =>
      builder
        .positional('name', {
          choices: Object.keys(STAND_INS) as StandInName[],
          demandOption: true,
          describe: 'what it stands in for',
        })
        .option('listen', { type: 'string', demandOption: true, describe: 'HOST:PORT' })
        .option('vms', { type: 'string', describe: 'JSON file with the VM list, for platform' }),
    ({ name, listen, vms }) => runStandIn(name, listen, vms),
  );
};
