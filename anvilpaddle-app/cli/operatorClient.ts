/** HTTP client of the operators' API. */
import {
  getErrorMessage,
  isConnectError,
  newFailure,
  newOk,
  requestHttp,
  type Result,
} from '@anvilpaddle/common';

/** Error of a call to the operators' API. */
export interface OperatorError {
  readonly kind: 'refused' | 'unreachable';
  readonly code: string;
  readonly message: string;
  /** One message per problem, if there are several. */
  readonly details?: readonly string[] | undefined;
  /** Whether a failed change took effect; `unknown` if that could not be determined. */
  readonly run?: string | undefined;
}

/** Client of the operators' API, with paths relative to its root. */
export interface OperatorClient {
  get(path: string): Promise<Result<unknown, OperatorError>>;
  post(path: string, body: unknown): Promise<Result<unknown, OperatorError>>;
}

const CALL_TIMEOUT_MS = 30_000;

/** Creates a client of the entry process at a base URL; it sends the operators' key. */
export const newOperatorClient = (baseUrl: string, key: string): OperatorClient => {
  const call = async (
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<Result<unknown, OperatorError>> => {
    try {
      const response = await requestHttp(`${baseUrl}/operator/v1${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const json = (await response.body.json()) as { error?: Omit<OperatorError, 'kind'> };
      if (json.error === undefined) return newOk(json);
      const { code, message, details, run } = json.error;
      return newFailure({ kind: 'refused', code, message, details, run });
    } catch (error) {
      // A change that was sent may have taken effect, even if its response was lost or truncated.
      const hasNoEffect = method === 'GET' || isConnectError(error);
      return newFailure({
        kind: 'unreachable',
        code: 'unreachable',
        message: `${baseUrl}: ${getErrorMessage(error)}`,
        ...(hasNoEffect ? {} : { run: 'unknown' }),
      });
    }
  };
  return { get: (path) => call('GET', path), post: (path, body) => call('POST', path, body) };
};
