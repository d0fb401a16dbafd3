/** All commands of the operators. */
import type { CommandGroup, OperatorCommand } from '../operatorCommand';
import { JOB_GROUP } from './job';
import { KEY_GROUP } from './key';
import { OPERATION_GROUP } from './operation';
import { ROUTE_GROUP } from './route';
import { SETTINGS_GROUP } from './settings';
import { STATUS_COMMAND } from './status';
import { TEAM_GROUP } from './team';

/** Groups of the operators' commands. */
export const COMMAND_GROUPS: readonly CommandGroup[] = [
  TEAM_GROUP,
  KEY_GROUP,
  ROUTE_GROUP,
  SETTINGS_GROUP,
  JOB_GROUP,
  OPERATION_GROUP,
];

/** Operators' commands that belong to no group. */
export const UNGROUPED_COMMANDS: readonly OperatorCommand[] = [STATUS_COMMAND];
