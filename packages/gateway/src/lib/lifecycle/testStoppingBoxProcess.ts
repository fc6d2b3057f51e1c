import { TestBox } from '../testBox.js'
import { controlProcess } from './controlProcess.js'

/** Shortest grace in which a box stops as planned, in ms. */
const SHUTDOWN_GRACE_MS = 3_500

/** A box as its own process, which stops on SIGTERM. Argument: the address of its target. Prints the port for callers. */
async function run(): Promise<void> {
	const box = new TestBox('box', undefined, 0, { shutdownGraceMs: SHUTDOWN_GRACE_MS })
	box.configure()
	await box.start()
	box.listTarget('t', process.argv[2] ?? '', false)
	await box.waitUntilReady()
	controlProcess({
		settingsFile: import.meta.filename,
		reload: () => 'not reloaded',
		stop: () => box.gateway.stop(),
		onExit: () => undefined,
		log: () => undefined,
	})
	process.stdout.write(`${JSON.stringify({ port: box.port })}\n`)
}

await run()
