/** Lines of the result files of batch jobs. */
import { newId } from '@anvilpaddle/common';
import type { ItemError } from '@anvilpaddle/decisions';

/** Result of one item: its line in the result file and whether it counts as failed. */
export interface ItemResult {
  readonly line: string;
  readonly failed: boolean;
}

/** Response of the upstream to an item. */
export interface ItemResponse {
  readonly status: number;
  readonly requestId: string;
  readonly body: unknown;
}

/** Creates a result from a response; a status of 400 or more counts as failed. */
export const newResponseResult = (customId: string, response: ItemResponse): ItemResult => ({
  line: JSON.stringify({
    id: newId('item'),
    custom_id: customId,
    response: { status_code: response.status, request_id: response.requestId, body: response.body },
    error: null,
  }),
  failed: response.status >= 400,
});

/** Creates the result of an item that has no response. */
export const newErrorResult = (customId: string | null, error: ItemError): ItemResult => ({
  line: JSON.stringify({ id: newId('item'), custom_id: customId, response: null, error }),
  failed: true,
});
