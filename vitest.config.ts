import { defineConfig } from 'vitest/config'

const packages = ['core', 'http', 'wire', 'telemetry', 'store', 'standins', 'router', 'gateway']

/** Tests that start crowds of clients: they run one at a time, after all others, because load would change their course. */
const CROWD_TESTS = ['platform/src/crowds/**/*.test.ts']

const config = defineConfig({
	test: {
		testTimeout: 120_000,
		hookTimeout: 120_000,
		projects: [
			{
				extends: true,
				test: {
					name: 'all',
					include: [
						'packages/**/src/**/*.test.ts',
						'apps/**/src/**/*.test.ts',
						'internal/**/src/**/*.test.ts',
						'platform/src/**/*.test.ts',
					],
					exclude: ['**/node_modules/**', ...CROWD_TESTS],
					// Tests with real processes start several processes each, so only a few files run at once.
					maxWorkers: 4,
					sequence: { groupOrder: 0 },
				},
			},
			{
				extends: true,
				test: {
					name: 'crowds',
					include: CROWD_TESTS,
					maxWorkers: 1,
					fileParallelism: false,
					sequence: { groupOrder: 1 },
				},
			},
		],
	},
	resolve: {
		alias: Object.fromEntries(
			packages.map((name) => [
				`@stallwing/${name}`,
				new URL(`./packages/${name}/src/index.ts`, import.meta.url).pathname,
			]),
		),
	},
})

export { config as default }
