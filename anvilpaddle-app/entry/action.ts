/** Whose credential an action asks for. */
export const ACTION_ACCESS = { team: 'team', operator: 'operator', open: 'open' } as const;

/** Variable parts of a path; undefined when it does not fit the pattern. */
export const matchPath = (
  pattern: string,
  path: string,
): Readonly<Record<string, string>> | undefined => {
  const expected = pattern.split('/');
  const actual = path.split('/');
  const params: Record<string, string> = {};
  for (const [index, part] of expected.entries()) {
    if (part.startsWith('*')) {
      params[part.slice(1)] = actual.slice(index).map(decodeURIComponent).join('/');
      return params;
    }
    const value = actual[index];
    if (value === undefined) return undefined;
    if (part.startsWith(':') && value !== '') params[part.slice(1)] = decodeURIComponent(value);
    else if (part !== value) return undefined;
  }
  return expected.length === actual.length ? params : undefined;
};
