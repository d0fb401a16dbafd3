/** Stand-ins of the platform's services and of upstreams, with fault injection. */
export * from './engineStandIn';
export * from './faults';
export * from './tcpProxy';
export * from './plainStandIn';
export * from './platformStandIn';
export * from './rateLimits';
export * from './inMemoryTables';
export * from './tokens';
