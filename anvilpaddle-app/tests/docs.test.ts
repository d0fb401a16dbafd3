import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join, resolve } from 'node:path';

const ROOT = resolve(__dirname, '../..');
const PROOFS = join(ROOT, 'docs/proofs');
/** A proof in a table: `path/to/file.test.ts`: "full name of the test". */
const PROOF_PATTERN = /`([\w/.-]+\.test\.ts)`: "([^"]+)"/g;
const TITLE_PATTERN =
  /\b(describe|it)(?:\.each[\s\S]*?\)(?=\(\s*['"`]))?\(\s*(?:'((?:[^'\\]|\\.)*)'|"([^"]*)"|`([^`]*)`)/g;

interface Proof {
  readonly page: string;
  readonly file: string;
  readonly name: string;
}

const getProofs = (): Proof[] =>
  readdirSync(PROOFS).flatMap((page) =>
    [...readFileSync(join(PROOFS, page), 'utf8').matchAll(PROOF_PATTERN)].map((match) => ({
      page,
      file: match[1] ?? '',
      name: match[2] ?? '',
    })),
  );

/** Titles in a test file with what a table fills in as a pattern. */
const getTitles = (file: string, kind: string): string[] =>
  [...readFileSync(join(ROOT, file), 'utf8').matchAll(TITLE_PATTERN)]
    .filter((match) => match[1] === kind)
    .map((match) => (match[2] ?? match[3] ?? match[4] ?? '').replace(/\\'/g, "'"))
    .map((title) => title.replace(/[.*+?^${}()|[\]\\]/g, '\\$&').replace(/%[a-z]|\\\$\w+/g, '.*'));

const isNamed = ({ file, name }: Proof): boolean => {
  if (!existsSync(join(ROOT, file))) return false;
  const groups = ['', ...getTitles(file, 'describe').map((title) => `${title} `)];
  return getTitles(file, 'it').some((title) =>
    groups.some((group) => new RegExp(`^${group}${title}$`).test(name)),
  );
};

describe('the pages of proofs', () => {
  it('name tests that exist', () => {
    const proofs = getProofs();
    const pages = new Set(proofs.map(({ page }) => page));

    expect(readdirSync(PROOFS).filter((page) => !pages.has(page))).toEqual([]);
    expect(proofs.filter((proof) => !isNamed(proof))).toEqual([]);
  });

  it('are all reached from PROOFS.md', () => {
    const index = readFileSync(join(ROOT, 'docs/PROOFS.md'), 'utf8');

    expect(readdirSync(PROOFS).filter((page) => !index.includes(`proofs/${page}`))).toEqual([]);
  });
});
