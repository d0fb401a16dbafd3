/** Command that shows the outcome of a configuration change. */
import { newOk } from '@anvilpaddle/common';
import {
  getText,
  newCommandFailure,
  type CommandGroup,
  type OperatorCommand,
} from '../operatorCommand';

const showOperation: OperatorCommand = {
  command: 'show <id>',
  describe: 'Show what became of a change whose outcome was unknown',
  positionals: { id: { type: 'string', describe: 'Id of the operation', demandOption: true } },
  examples: [['show op_4e…', 'the revision it was accepted under, if it was']],
  run: async (args, client) => {
    const response = await client.get(`/operations/${encodeURIComponent(getText(args, 'id'))}`);
    if (!response.ok) return newCommandFailure(response.error);
    const { operation, revision } = response.value as { operation: string; revision: number };
    const text = `${operation} was accepted as revision ${revision}`;
    return newOk({ json: response.value, text });
  },
};

/** Commands about configuration changes whose outcome is unknown. */
export const OPERATION_GROUP: CommandGroup = {
  name: 'operation',
  describe: 'Outcome of changes',
  commands: [showOperation],
};
