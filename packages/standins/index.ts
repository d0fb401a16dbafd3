export * from './engineStandIn';
export * from './faults';
export * from './link';
export * from './plainStandIn';
export * from './platformStandIn';
export * from './rateLimits';
export * from './tables';
export * from './tokens';
