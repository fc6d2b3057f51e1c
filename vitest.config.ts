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
		// Real-process tests take several processes each: a few files at a time.
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
