import { TestBox } from '../testBox.js'
import { configureWithBodies } from './testCallers.js'

/**
 * A box as its own process, so that its memory can be measured from outside. Arguments: the memory limit in bytes (0 for
 * none), the maximum size of a body in bytes, and the addresses of the targets. Prints the port for callers once it is
 * ready, and then its status every 250 ms.
 */
async function run(): Promise<void> {
	const [memoryBytes = 0, maxBodyBytes = 0] = process.argv.slice(2, 4).map(Number)
	const box = new TestBox('box', undefined, 0, {
		isUnderPressure: memoryBytes > 0,
		capacity: { cores: 1, memoryBytes: memoryBytes || undefined, linkBytesPerSecond: undefined },
	})
	// The targets take all requests at once, so that none waits for a place.
	box.targetSlots = 10_000
	// A box writes its log out; here, it would fill the heap.
	box.logEvents.push = () => 0
	configureWithBodies(box, maxBodyBytes)
	await box.start()
	for (const [index, address] of process.argv.slice(4).entries())
		box.listTarget(`t-${index}`, address, false)
	await box.waitUntilReady()
	process.stdout.write(`${JSON.stringify({ port: box.port })}\n`)
	setInterval(() => {
		const { parts, open } = box.gateway.status()
		process.stdout.write(`${JSON.stringify({ open, memory: parts['memory'] })}\n`)
	}, 250)
}

await run()
