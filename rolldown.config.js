import { defineConfig } from 'rolldown'

const packages = ['core', 'http', 'store', 'telemetry', 'gateway']

/** Bundles the program into one file, so that the process reads only one file at startup. */
const config = defineConfig({
	input: 'platform/src/main.ts',
	platform: 'node',
	tsconfig: false,
	output: { file: 'target/stallwing.js', format: 'esm', codeSplitting: false, minify: true },
	resolve: {
		mainFields: ['module', 'main'],
		extensionAlias: { '.js': ['.ts', '.js'] },
		alias: Object.fromEntries(
			packages.map((name) => [
				`@stallwing/${name}`,
				new URL(`./packages/${name}/src/index.ts`, import.meta.url).pathname,
			]),
		),
	},
})

export { config as default }
