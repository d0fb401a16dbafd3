import { getCallerCredential, getUpstreamHeaders, getUpstreamPath } from '../entry/upstreamHeaders';

const SECRET = 'ap-secret-of-a-caller';

describe('what an upstream sees of a request', () => {
  it.each([
    ['authorization', `Bearer ${SECRET}`],
    ['cookie', `session=${SECRET}`],
    ['x-api-key', SECRET],
    ['proxy-authorization', `Basic ${SECRET}`],
    ['user-agent', `client/1 ${SECRET}`],
    ['accept-language', SECRET],
    ['x-request-id', 'a-callers-own-id'],
  ])('leaves out the header %s', (name, value) => {
    expect(getUpstreamHeaders({ [name]: value }, SECRET)).toEqual({});
  });

  it('passes named headers on', () => {
    const headers = { accept: 'application/json', 'content-type': 'text/plain' };

    expect(getUpstreamHeaders(headers, SECRET)).toEqual(headers);
  });

  it.each([
    ['/a?api_key=1&page=2', '/a?page=2'],
    ['/a?API-Key=1&page=2', '/a?page=2'],
    ['/a?%61pi%5Fkey=1', '/a'],
    ['/a?Access.Token=1', '/a'],
    [`/a?q=${SECRET}&page=2`, '/a?page=2'],
    [`/a?q=x${encodeURIComponent(SECRET).replace('a', '%61')}x`, '/a'],
    [`/a?${SECRET}=1`, '/a'],
    ['/a?q=a%20b&page=2', '/a?q=a%20b&page=2'],
  ])('has the path %s as %s', (path, expected) => {
    expect(getUpstreamPath(new URL(path, 'http://entry'), SECRET)).toBe(expected);
  });

  it('knows the secret of a caller', () => {
    expect(getCallerCredential({ authorization: `Bearer ${SECRET}` })).toBe(SECRET);
    expect(getCallerCredential({})).toBeUndefined();
  });
});
