/** Error of a response that passes its share of the bytes that the process may hold. */
export class NoMemoryForResponseError extends Error {
  constructor() {
    super('no memory for the response');
  }
}
