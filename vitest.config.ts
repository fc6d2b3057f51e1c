import { defineConfig } from 'vitest/config'

const packages = ['core', 'wire', 'telemetry', 'store', 'standins', 'router', 'gateway']

const config = defineConfig({
	test: {
		include: [
			'packages/**/src/**/*.test.ts',
			'apps/**/src/**/*.test.ts',
			'internal/**/src/**/*.test.ts',
			'platform/src/**/*.test.ts',
		],
		testTimeout: 120_000,
		hookTimeout: 120_000,
		// Tests with real processes start several processes each, so only a few files run at once.
		maxWorkers: 4,
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
