import { getRoute, newConfig } from '../config';

const ROUTES = {
  intake: '/intake/',
  admin: '/intake/admin/',
  chat: '/v1/chat/completions',
};

const config = newConfig(
  1,
  Object.entries(ROUTES).map(([id, path]) => ({
    kind: 'route',
    id,
    revision: 1,
    value: { kind: 'plain', path, access: 'keyed', group: 'plain', idempotentMethods: [] },
  })),
);

describe('the route of a path', () => {
  it.each([
    ['/intake/forms', 'intake'],
    ['/intake/', 'intake'],
    ['/intake', undefined],
    ['/intake/admin/users', 'admin'],
    ['/intake/%61dmin/users', 'admin'],
    ['/intake/%2561dmin/users', 'admin'],
    ['/intake//admin/users', 'admin'],
    ['/intake/admin%2Fusers', 'admin'],
    ['/intake%2fadmin%2fusers', 'admin'],
    ['/intake/./admin/users', 'admin'],
    ['/intake/forms/../admin/users', 'admin'],
    ['/intake/forms/%2e%2e/admin/users', 'admin'],
    ['/intake/forms%5c..%5cadmin/users', 'admin'],
    ['/intake/admin', 'intake'],
    ['/intake/100%', undefined],
    ['/v1/chat/completions', 'chat'],
    ['/v1/chat/completions/', undefined],
    ['/v1//chat/completions', 'chat'],
    ['/v1/chat/completions/../../../intake/x', 'intake'],
    ['/', undefined],
  ])('%s is %s', (path, route) => {
    expect(getRoute(config, path)?.name).toBe(route);
  });
});
