import { getCallerCredential, getUpstreamHeaders, getUpstreamPath } from '../entry/upstreamHeaders';

const CREDENTIAL = 'ap-secret-of-a-caller';

describe('a forwarded request', () => {
  it.each([
    ['authorization', `Bearer ${CREDENTIAL}`],
    ['cookie', `session=${CREDENTIAL}`],
    ['x-api-key', CREDENTIAL],
    ['proxy-authorization', `Basic ${CREDENTIAL}`],
    ['user-agent', `client/1 ${CREDENTIAL}`],
    ['accept-language', CREDENTIAL],
    ['x-request-id', 'a-callers-own-id'],
  ])('omits the header %s', (name, value) => {
    expect(getUpstreamHeaders({ [name]: value }, CREDENTIAL)).toEqual({});
  });

  it('includes the listed headers', () => {
    const headers = { accept: 'application/json', 'content-type': 'text/plain' };

    expect(getUpstreamHeaders(headers, CREDENTIAL)).toEqual(headers);
  });

  it.each([
    ['/a?api_key=1&page=2', '/a?page=2'],
    ['/a?API-Key=1&page=2', '/a?page=2'],
    ['/a?%61pi%5Fkey=1', '/a'],
    ['/a?Access.Token=1', '/a'],
    [`/a?q=${CREDENTIAL}&page=2`, '/a?page=2'],
    [`/a?q=x${encodeURIComponent(CREDENTIAL).replace('a', '%61')}x`, '/a'],
    [`/a?${CREDENTIAL}=1`, '/a'],
    ['/a?q=a%20b&page=2', '/a?q=a%20b&page=2'],
  ])('has the path %s forwarded as %s', (path, expected) => {
    expect(getUpstreamPath(new URL(path, 'http://entry'), CREDENTIAL)).toBe(expected);
  });

  it('takes the caller’s credential from the authorization header', () => {
    expect(getCallerCredential({ authorization: `Bearer ${CREDENTIAL}` })).toBe(CREDENTIAL);
    expect(getCallerCredential({})).toBeUndefined();
  });
});
