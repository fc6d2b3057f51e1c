import { subscribe } from 'node:diagnostics_channel'
import { TestBox } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'

/**
 * A box as its own process, for which each step of a request takes a stated time, so that tests of an overloaded box do
 * not depend on the speed of the machine. Arguments: the steps as JSON, the time-out of the routes in ms, and the addresses
 * of the targets. Prints the port for callers once it is ready.
 */

/** Time for which the process is blocked by each step of a request, in ms. */
export interface StepCosts {
	/** A connection of a caller is accepted. */
	readonly acceptMs: number
	/** The head of a request is read. */
	readonly headMs: number
	/** The request is sent to a target. */
	readonly sendMs: number
	/** The answer to the caller is finished. */
	readonly answerMs: number
}

const blockedOn = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))

function block(ms: number): void {
	if (ms > 0) Atomics.wait(blockedOn, 0, 0, ms)
}

/** Blocks the process whenever Node reports a step. */
function chargeSteps(costs: StepCosts): void {
	subscribe('net.server.socket', () => block(costs.acceptMs))
	subscribe('http.server.request.start', () => block(costs.headMs))
	subscribe('http.client.request.start', () => block(costs.sendMs))
	subscribe('http.server.response.finish', () => block(costs.answerMs))
}

async function run(): Promise<void> {
	const [costs = '{}', timeoutMs = '1000', ...targets] = process.argv.slice(2)
	const box = new TestBox('box')
	box.targetSlots = 1_000
	// The log is not written out and would fill the heap.
	box.logEvents.push = () => 0
	const config = trafficConfigOf(1)
	const routes = config.routes.map((route) => ({ ...route, timeoutMs: Number(timeoutMs) }))
	const services = config.services.map((service) => ({ ...service, maxConnections: 1_000 }))
	box.store.put('config/now', JSON.stringify({ ...config, routes, services }))
	await box.start()
	for (const [index, address] of targets.entries()) box.listTarget(`t-${index}`, address, false)
	await box.waitUntilReady()
	process.stdout.write(`${JSON.stringify({ port: box.port })}\n`)
	chargeSteps(JSON.parse(costs) as StepCosts)
}

await run()
