import js from '@eslint/js';
import importX from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

// Folders of src/ with pure logic, which does no I/O. They must not import from the folders of `io`.
const pure = [
  'arrivals',
  'errors',
  'base',
  'configuration',
  'membership',
  'ownership',
  'engines',
  'grants',
  'routing',
  'requests',
  'suspects',
  'actions',
  'drafts',
  'routes',
  'directory',
  'fleet',
  'limits',
  'quotas',
  'tenants',
  'notices',
  'owners',
  'paths',
  'residency',
  'streams',
  'forwards',
  'operators',
  'core',
];
const io = [
  'clients',
  'peers',
  'relays',
  'observe',
  'callers',
  'admin',
  'host',
  'gatewayHost',
  'settings',
  'cli',
];

export default tseslint.config(
  { ignores: ['dist/', 'target/', 'node_modules/', 'coverage/'] },
  js.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    plugins: { 'import-x': importX },
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      // Instances are created by a static `create`; classes that only hold state have no instance methods.
      '@typescript-eslint/no-extraneous-class': 'off',
      '@typescript-eslint/no-empty-function': ['error', { allow: ['private-constructors'] }],
      // Handlers of one table share a signature; a leading underscore marks a parameter that one does not use.
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      'import-x/no-restricted-paths': [
        'error',
        {
          zones: [
            ...pure.map((folder) => ({
              target: `./src/${folder}`,
              from: io.map((other) => `./src/${other}`),
              message:
                'Modules with pure logic do no I/O: they must not import clients, servers or the host.',
            })),
            {
              target: './src/clients',
              from: ['./src/callers', './src/admin', './src/host', './src/cli'],
            },
            {
              target: './src/peers',
              from: ['./src/callers', './src/admin', './src/host', './src/cli'],
            },
            { target: './src', from: ['./bench', './tests', './platform'] },
            { target: './platform', from: ['./bench', './tests', './stand-ins'] },
          ],
        },
      ],
      'no-restricted-imports': [
        'error',
        { paths: ['worker_threads', 'node:worker_threads', 'cluster', 'node:cluster'] },
      ],
    },
  },
  {
    files: pure.map((folder) => `src/${folder}/**/*.ts`),
    rules: {
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'fetch',
        'performance',
        'Date',
      ],
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            'undici',
            'winston',
            'node:net',
            'node:http',
            'node:fs',
            'node:fs/*',
            'node:child_process',
          ],
          paths: ['worker_threads', 'node:worker_threads', 'cluster', 'node:cluster'],
        },
      ],
    },
  },
  { files: ['**/*.js', '**/*.mjs'], extends: [tseslint.configs.disableTypeChecked] },
);
