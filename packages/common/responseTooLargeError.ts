/** Error of a response that has more bytes than its reader takes. */
export class ResponseTooLargeError extends Error {
  constructor() {
    super('the response is too large');
  }
}
