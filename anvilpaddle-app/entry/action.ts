/** Credential that an action requires: a team's API key, the operators' key or none. */
export const ACTION_ACCESS = { team: 'team', operator: 'operator', open: 'open' } as const;

/** Values of the variable segments of a path; undefined when it does not match the pattern. */
export const matchPath = (
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined => {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  const params: Record<string, string> = {};
  for (const [index, part] of patternSegments.entries()) {
    if (part.startsWith('*')) {
      params[part.slice(1)] = pathSegments.slice(index).map(decodeURIComponent).join('/');
      return params;
    }
    const value = pathSegments[index];
    if (value === undefined) return undefined;
    if (part.startsWith(':') && value !== '') params[part.slice(1)] = decodeURIComponent(value);
    else if (part !== value) return undefined;
  }
  return patternSegments.length === pathSegments.length ? params : undefined;
};
