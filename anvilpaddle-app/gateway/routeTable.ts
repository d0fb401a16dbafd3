/** Finds the route and the service of a request. */
import type { Random } from '@anvilpaddle/common';
import type { GatewayConfig, Route } from './types';

/** Route of a host with the longest prefix that begins the path. */
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

/** Service for one request, drawn by the weights of the route's targets. */
export const pickService = ({ targets }: Route, random: Random): string | undefined => {
  const total = targets.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  const drawn = targets.find(({ weight }) => {
    left -= weight;
    return left < 0;
  });
  return (drawn ?? targets[0])?.service;
};
