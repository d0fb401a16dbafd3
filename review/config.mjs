/** Configuration of the small deployment, as the operator writes it. */

/** Host of all routes. */
export const HOST = 'site.example';

const ROUTE = {
  host: HOST,
  service: 'models',
  timeout_ms: 5000,
  slo_ms: 300,
  priority: 0,
  max_attempts: 1,
  public: false,
  resumable: false,
};

/** A version of the configuration with the given tenants. */
export const newConfig = (version, tenants) => ({
  version,
  routes: [
    { ...ROUTE, name: 'stream', prefix: '/stream/', kind: 'stream', gap_target_ms: 250 },
    { ...ROUTE, name: 'status', prefix: '/status/', kind: 'safe', max_attempts: 2 },
  ],
  services: [{ name: 'models', health_path: '/healthz', max_conns: 1000 }],
  limits: {
    max_header_bytes: 16384,
    max_body_bytes: 4194304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15000,
  },
  tenants,
});
