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
    const answer = await client.get(`/operations/${encodeURIComponent(getText(args, 'id'))}`);
    if (!answer.ok) return newCommandFailure(answer.error);
    const { operation, revision } = answer.value as { operation: string; revision: number };
    const text = `${operation} was accepted as revision ${revision}`;
    return newOk({ json: answer.value, text });
  },
};

/** Commands about changes in doubt. */
export const OPERATION_GROUP: CommandGroup = {
  name: 'operation',
  describe: 'Outcome of changes',
  commands: [showOperation],
};
