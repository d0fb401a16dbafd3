/** @type {import('jest').Config} */
module.exports = {
  testEnvironment: 'node',
  testMatch: ['**/tests/**/*.test.ts'],
  testPathIgnorePatterns: ['/node_modules/', '/dist/'],
  modulePathIgnorePatterns: ['/dist/'],
  transform: {
    '^.+\\.(t|j|mj)s$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } } },
    ],
  },
  maxWorkers: 4,
  testTimeout: 60000,
};
