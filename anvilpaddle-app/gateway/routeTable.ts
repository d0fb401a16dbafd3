/** Selects the route and the service of a request. */
import type { Random } from '@anvilpaddle/common';
import type { GatewayConfig, Route } from './types';

/** Route of a host with the longest prefix that matches the path. */
export const findRoute = (
  { routes }: GatewayConfig,
  host: string,
  path: string,
): Route | undefined =>
  routes
    .filter((route) => route.host === host && path.startsWith(route.prefix))
    .reduce<Route | undefined>(
      (best, route) =>
        best === undefined || route.prefix.length > best.prefix.length ? route : best,
      undefined,
    );

/** Service for one request, chosen at random by the weights of the route's targets. */
export const pickService = ({ targets }: Route, random: Random): string | undefined => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  const picked = targets.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  });
  return (picked ?? targets[0])?.service;
};
