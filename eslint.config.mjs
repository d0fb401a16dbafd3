import { configs, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

// Layout is the formatter's work; a rule on it here would contradict prettier.
const withoutLayout = (config) => ({
  ...config,
  rules: Object.fromEntries(
    Object.entries(config.rules ?? {}).filter(([name]) => !name.startsWith('@stylistic/')),
  ),
});

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', '**/__snapshots__/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...[...configs.base.recommended, ...configs.node.recommended, ...configs.base.typescript].map(
    withoutLayout,
  ),
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: process.cwd() } },
  },
  {
    // Deviations from Airbnb; docs/STYLE.md gives the reason for each.
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-cycle': 'error',
      'no-await-in-loop': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'class-methods-use-this': 'off',
      'no-continue': 'off',
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: [
            'exchange',
            'outcome',
            'pending',
            'progress',
            'record',
            'response',
            'upstream',
          ],
        },
      ],
      'no-void': ['error', { allowAsStatement: true }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // Scripts, tests and the command line have the process to themselves.
    files: [
      '**/*.mjs',
      '**/*.cjs',
      '**/tests/**',
      'anvilpaddle-app/cli/**',
      'anvilpaddle-app/dev/**',
      'anvilpaddle-app/index.ts',
      'anvilpaddle-app/process/stopOnSignal.ts',
      'anvilpaddle-app/processSettings/**',
      'platform/bootFile.ts',
      'platform/main.ts',
      'measurements/**',
      'packages/common/logStream.ts',
    ],
    rules: {
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
    },
  },
);
