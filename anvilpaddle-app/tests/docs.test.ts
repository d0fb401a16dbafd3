/** Pages of proofs: every test that they name exists, and every page is linked. */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';

const ROOT = resolve(__dirname, '../..');
const PROOFS_FOLDER = join(ROOT, 'docs/proofs');
/** Proof in a table: `path/to/file.test.ts`: "full name of the test". */
const PROOF_PATTERN = /`([\w/.-]+\.test\.ts)`: "([^"]+)"/g;
const TITLE_PATTERN =
  /\b(describe|it)(?:\.each[\s\S]*?\)(?=\(\s*['"`]))?\(\s*(?:'((?:[^'\\]|\\.)*)'|"([^"]*)"|`([^`]*)`)/g;

/** Reference of a page to a test. */
interface Proof {
  readonly page: string;
  readonly file: string;
  readonly name: string;
}

const getProofs = (): Proof[] =>
  readdirSync(PROOFS_FOLDER).flatMap((page) =>
    [...readFileSync(join(PROOFS_FOLDER, page), 'utf8').matchAll(PROOF_PATTERN)].map((match) => ({
      page,
      file: match[1] ?? '',
      name: match[2] ?? '',
    })),
  );

/** Titles in a test file as patterns, in which a placeholder of `it.each` matches any text. */
const getTitles = (file: string, kind: string): string[] =>
  [...readFileSync(join(ROOT, file), 'utf8').matchAll(TITLE_PATTERN)]
    .filter((match) => match[1] === kind)
    .map((match) => (match[2] ?? match[3] ?? match[4] ?? '').replace(/\\'/g, "'"))
    .map((title) => title.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/%[a-z]|\\\$\w+/g, '.*'));

const hasTest = ({ file, name }: Proof): boolean => {
  if (!existsSync(join(ROOT, file))) return false;
  const describePrefixes = ['', ...getTitles(file, 'describe').map((title) => `${title} `)];
  return getTitles(file, 'it').some((title) =>
    describePrefixes.some((prefix) => new RegExp(`^${prefix}${title}$`).test(name)),
  );
};

describe('the pages of proofs', () => {
  it('name tests that exist', () => {
    const proofs = getProofs();
    const pages = new Set(proofs.map(({ page }) => page));

    expect(readdirSync(PROOFS_FOLDER).filter((page) => !pages.has(page))).toEqual([]);
    expect(proofs.filter((proof) => !hasTest(proof))).toEqual([]);
  });

  it('are all linked from PROOFS.md', () => {
    const index = readFileSync(join(ROOT, 'docs/PROOFS.md'), 'utf8');

    expect(readdirSync(PROOFS_FOLDER).filter((page) => !index.includes(`proofs/${page}`))).toEqual(
      [],
    );
  });
});
