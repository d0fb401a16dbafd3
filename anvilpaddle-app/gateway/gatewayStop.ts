/** Planned stop of a gateway within its grace period. */
import { MS_PER_SECOND, type Clock, type Logger } from '@anvilpaddle/common';
import { sleep } from '../process/program';
import type { CallerConnections } from './callerConnections';
import type { GatewayList } from './gatewayList';
import type { JobRunner } from './jobs/jobRunner';
import type { GatewayBounds } from './types';

/** Time until the balancer stops sending to a stopping gateway: two failed checks and a margin. */
const BALANCER_DRAIN_MS = 3 * MS_PER_SECOND;
/** Time between the end of a stop and the end of the grace period, when the process is killed. */
const STOP_MARGIN_MS = 500;

/** Parts of a gateway that a stop ends. */
export interface StoppedParts {
  readonly jobRunner: JobRunner;
  readonly callerConnections: CallerConnections;
  readonly gatewayList: GatewayList;
}

/** Serves what still comes, hands the jobs over and closes the callers' connections. */
export const stopGateway = async (
  { jobRunner, callerConnections, gatewayList }: StoppedParts,
  { stopGracePeriodMs }: GatewayBounds,
  clock: Clock,
  log: Logger,
): Promise<void> => {
  log.info({ active: callerConnections.getActiveRequests() }, 'gateway stopping');
  const stopDeadlineMs = clock.monotonic() + stopGracePeriodMs - STOP_MARGIN_MS;
  const jobsHandedOver = jobRunner.stop();
  callerConnections.announceClose();
  await sleep(clock, BALANCER_DRAIN_MS);
  await Promise.race([
    Promise.all([jobsHandedOver, callerConnections.close()]),
    sleep(clock, Math.max(0, stopDeadlineMs - clock.monotonic())),
  ]);
  log.info({ active: callerConnections.getActiveRequests() }, 'gateway stopped');
  callerConnections.breakOff();
  await Promise.race([gatewayList.leave(), sleep(clock, STOP_MARGIN_MS / 2)]);
};
