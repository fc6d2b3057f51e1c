import tseslint from 'typescript-eslint'

export default tseslint.config(
	{ ignores: ['**/dist/**', '**/gen/**', 'node_modules/**', 'apps/stallwing/bin/**', 'target/**'] },
	...tseslint.configs.recommended,
	{
		files: ['packages/**/*.ts', 'apps/**/*.ts', 'internal/**/*.ts', 'platform/**/*.ts'],
		languageOptions: { parserOptions: { projectService: true } },
		rules: {
			'@typescript-eslint/no-floating-promises': 'error',
			'@typescript-eslint/switch-exhaustiveness-check': [
				'error',
				{ considerDefaultExhaustiveForUnions: true },
			],
			'@typescript-eslint/consistent-type-imports': 'error',
			'@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
			'@typescript-eslint/only-throw-error': 'error',
			'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true } }],
		},
	},
)
