import { request } from 'undici';
import { newFleet, OPERATOR_KEY, type Fleet } from './kit/fleet';

/** Headers that may hold a caller's key, cookie or credential; SECRET stands for the key. */
const HEADERS: readonly (readonly [string, string])[] = [
  ['x-api-key', 'SECRET'],
  ['X-API-KEY', 'SECRET'],
  ['api-key', 'SECRET'],
  ['apikey', 'SECRET'],
  ['x-goog-api-key', 'SECRET'],
  ['x-auth-token', 'SECRET'],
  ['x-access-token', 'SECRET'],
  ['openai-api-key', 'SECRET'],
  ['ocp-apim-subscription-key', 'SECRET'],
  ['proxy-authorization', 'Basic SECRET'],
  ['cookie', 'session=SECRET'],
  ['x-forwarded-authorization', 'Bearer SECRET'],
  ['x-anvilpaddle-attempt', 'SECRET'],
  ['x-request-id', 'SECRET'],
  ['x-anything', 'SECRET'],
  ['user-agent', 'client/1 (SECRET)'],
  ['accept-language', 'SECRET'],
  ['content-type', 'text/plain; key=SECRET'],
];

/** Query parameters that may hold a caller's key. */
const PARAMS: readonly string[] = [
  'key',
  'KEY',
  'Key',
  'api_key',
  'apiKey',
  'api-key',
  'API-KEY',
  'x-api-key',
  'access_token',
  'accessToken',
  'token',
  'auth',
  'authorization',
  'auth_token',
  'secret',
  'password',
  'credential',
  'bearer',
  'k%65y',
  'key%20',
  'key[]',
  'anything',
];

describe('a credential of a caller', () => {
  let fleet: Fleet;
  let key: string;

  beforeAll(async () => {
    fleet = await newFleet({ entries: 1, engines: 0, plains: 1 });
    key = await fleet.newTeam('acme');
  });

  afterAll(() => fleet.close());

  const send = async (
    query: string,
    headers: Readonly<Record<string, string>>,
    path = 'forms',
  ): Promise<string> => {
    const response = await request(`${fleet.entries[0]?.url}/intake/${path}${query}`, {
      headers: { authorization: `Bearer ${key}`, ...headers },
    });
    return `${response.statusCode} ${JSON.stringify(response.headers)} ${await response.body.text()}`;
  };

  const getLastUpstreamCall = (): string => JSON.stringify(fleet.plains[0]?.calls.at(-1));

  it.each(HEADERS)('does not reach an upstream in the header %s: %s', async (name, value) => {
    const response = await send('', { [name]: value.replace('SECRET', key) });

    expect(response).toMatch(/^200/);
    expect(getLastUpstreamCall()).not.toContain(key);
  });

  it.each(PARAMS)('does not reach an upstream in the query parameter %s', async (name) => {
    await send(`?a=1&${name}=${key}`, {});

    expect(getLastUpstreamCall()).not.toContain(key);
    expect(getLastUpstreamCall()).toContain('a=1');
  });

  it('does not reach an upstream when its query value is encoded twice or embedded', async () => {
    const encodedTwice = [...key].map((c) => `%25${c.charCodeAt(0).toString(16)}`).join('');
    await send(`?a=1&x=${encodedTwice}&y=Bearer%20${key}&z=pre${key}post&${key}=1`, {});

    expect(getLastUpstreamCall()).toContain('"/intake/forms?a=1"');
  });

  it('does not reach an upstream on a route without authentication', async () => {
    await request(`${fleet.entries[0]?.url}/checkin/ping?a=1&x=${key}`, {
      headers: { 'user-agent': key },
    });

    expect(getLastUpstreamCall()).toContain('"/checkin/ping?a=1"');
    expect(getLastUpstreamCall()).not.toContain(key);
  });

  it('appears in no log, metric, error or response of the operators’ API', async () => {
    await send(`?key=${key}`, { 'x-api-key': key, cookie: `session=${key}` });
    const wrongKey = `${key}wrong`;
    const refusals = await Promise.all([
      send('', { authorization: `Bearer ${wrongKey}` }),
      send(`?key=${wrongKey}`, { authorization: `Basic ${wrongKey}` }),
    ]);
    const status = await fleet.operator.get('/status');
    const entries = await fleet.operator.get('/entries/key');
    const history = await fleet.operator.get('/history?after=0');
    const logs = [...fleet.entries, ...fleet.sidecars].map(({ child }) => child.logs()).join('');

    expect(refusals.every((refusal) => refusal.startsWith('401'))).toBe(true);
    [refusals, status, entries, history].forEach((output) =>
      expect(JSON.stringify(output)).not.toContain(key),
    );
    expect(logs).toContain('request ended');
    expect(logs).not.toContain(key);
    expect(logs).not.toContain(OPERATOR_KEY);
  });
});
