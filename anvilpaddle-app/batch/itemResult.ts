import { newId } from '@anvilpaddle/common';
import type { ItemError } from '@anvilpaddle/decisions';

/** Result of one item as a line of the result file. */
export interface ItemResult {
  readonly line: string;
  readonly failed: boolean;
}

/** Response of the upstream. */
export interface ItemResponse {
  readonly status: number;
  readonly requestId: string;
  readonly body: unknown;
}

/** Result with a response; one with a status of 400 or more counts as failed. */
export const newResponseResult = (customId: string, response: ItemResponse): ItemResult => ({
  line: JSON.stringify({
    id: newId('item'),
    custom_id: customId,
    response: { status_code: response.status, request_id: response.requestId, body: response.body },
    error: null,
  }),
  failed: response.status >= 400,
});

/** Result without a response. */
export const newErrorResult = (customId: string | null, error: ItemError): ItemResult => ({
  line: JSON.stringify({ id: newId('item'), custom_id: customId, response: null, error }),
  failed: true,
});
