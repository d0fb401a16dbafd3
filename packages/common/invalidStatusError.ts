/** Error of a response with a status that no final response may have; its request may have run. */
export class InvalidStatusError extends Error {
  constructor(status: number) {
    super(`invalid status ${status}`);
  }
}
