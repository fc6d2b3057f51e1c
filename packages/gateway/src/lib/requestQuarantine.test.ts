/** Guards against a request that crashes one target after another while its caller retries it at different boxes. */
import { CrashingTarget, MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { TestBox, targetEntryOf } from './testBox.js'
import { TEST_DIALECT } from './testDialect.js'
import { trafficConfigOf } from './testTrafficConfig.js'

const FATAL = 'fatal'
const BOX_COUNT = 4
const TARGET_COUNT = 12
const CRASHES_UNTIL_QUARANTINE = 3
/** Time after the third crash by which all connected boxes must have quarantined the request, in ms. */
const PROPAGATION_MS = 3_000
const RETRY_DELAY_MS = 150
/** How long the caller keeps retrying, in ms: until the third crash, the propagation time and ten more retries. */
const DURATION_MS = 6_000

describe('a request that crashes its targets', () => {
	let fleet: CrashFleet
	afterEach(() => fleet.stop())

	const routes = ['/once/', '/again/', '/resume/']
	it.each(routes)('is refused by all boxes after three crashes, on %s', async (route) => {
		fleet = new CrashFleet()
		await fleet.start()
		const others = fleet.sendOtherRequests(route)
		await fleet.sendFatalRequests(route)
		const served = await others
		expect(fleet.crashTimes.length).toBeGreaterThanOrEqual(CRASHES_UNTIL_QUARANTINE)
		// Each other box may already have sent the request when the third target crashes.
		expect(fleet.crashTimes.length).toBeLessThanOrEqual(CRASHES_UNTIL_QUARANTINE + BOX_COUNT)
		expect(fleet.lateCrashCount).toBe(0)
		expect(served.lateFailures).toBe(0)
	})

	it('is still refused after all boxes have restarted', async () => {
		fleet = new CrashFleet()
		await fleet.start()
		await fleet.sendFatalRequests('/once/', 2_000)
		const before = fleet.crashTimes.length
		await fleet.restartBoxes()
		await fleet.sendFatalRequests('/once/', 2_000)
		expect(before).toBeGreaterThanOrEqual(CRASHES_UNTIL_QUARANTINE)
		expect(fleet.crashTimes.length).toBe(before)
	})

	it('is allowed again at all boxes after an operator released it', async () => {
		fleet = new CrashFleet()
		await fleet.start()
		await fleet.sendFatalRequests('/once/', 2_000)
		const [fingerprint = ''] = fleet.quarantined
		expect(fleet.release('0'.repeat(32))).toBe(false)
		expect(fleet.release(fingerprint)).toBe(true)
		await sleep(RETRY_DELAY_MS)
		expect(fleet.quarantined).toEqual([])
	})
})

/** Boxes with a common store, and targets that one request crashes. */
class CrashFleet {
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly CrashingTarget[] = []

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = Array.from({ length: TARGET_COUNT }, (_, i) => this.makeTarget(`t${i}`))
		await Promise.all(this.targets.map((target) => target.start()))
		await this.startBoxes()
	}

	/** Restarts all boxes at once, which clears their memory. */
	async restartBoxes(): Promise<void> {
		await Promise.all(this.boxes.map((box) => box.stop()))
		await this.startBoxes()
	}

	private async startBoxes(): Promise<void> {
		const ports = await Promise.all(Array.from({ length: BOX_COUNT }, freePort))
		this.boxes = ports.map((port, i) => new TestBox(`box-${i}`, this.store, port))
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	/** Fingerprints of the requests that any box has quarantined. */
	get quarantined(): string[] {
		return this.boxes.flatMap((box) =>
			box.gateway.status().quarantined.map((request) => request.fingerprint),
		)
	}

	release(fingerprint: string): boolean {
		return this.boxes[0]?.gateway.releaseQuarantined(fingerprint) ?? false
	}

	/** Times at which targets crashed, in order. */
	get crashTimes(): number[] {
		return this.targets.flatMap((target) => target.crashTimes).sort((a, b) => a - b)
	}

	/** Number of crashes after the time by which all boxes must have quarantined the request. */
	get lateCrashCount(): number {
		const quarantinedAt = this.crashTimes[CRASHES_UNTIL_QUARANTINE - 1] ?? Infinity
		return this.crashTimes.filter((at) => at > quarantinedAt + PROPAGATION_MS).length
	}

	/** Sends the fatal request to the boxes in turn, regardless of the responses. */
	async sendFatalRequests(route: string, durationMs = DURATION_MS): Promise<void> {
		const stopAt = performance.now() + durationMs
		for (let i = 0; performance.now() < stopAt; i++) {
			void this.boxes[i % BOX_COUNT]?.sendRequest(`${route}x`, { id: `fatal-${i}`, body: FATAL })
			await sleep(RETRY_DELAY_MS)
		}
	}

	/** Sends other requests. Returns how many failed after all boxes must have quarantined the fatal one. */
	async sendOtherRequests(route: string): Promise<{ readonly lateFailures: number }> {
		const stopAt = performance.now() + DURATION_MS
		let lateFailures = 0
		for (let i = 0; performance.now() < stopAt; i++) {
			const box = this.boxes[(i * 3) % BOX_COUNT]
			const at = performance.now()
			void box
				?.sendRequest(`${route}other`, { id: `other-${i}`, body: `body ${i}` })
				.then((response) => {
					const isLate =
						at > (this.crashTimes[CRASHES_UNTIL_QUARANTINE - 1] ?? Infinity) + PROPAGATION_MS
					if (isLate && response.status !== 200) lateFailures++
				})
			await sleep(RETRY_DELAY_MS / 3)
		}
		await sleep(RETRY_DELAY_MS)
		return { lateFailures }
	}

	private makeTarget(name: string): CrashingTarget {
		return new CrashingTarget({
			name,
			isFatal: (body) => body === FATAL,
			crashDelayMs: 60,
			restartDelayMs: 1_500,
			processingMs: 20,
			headers: TEST_DIALECT.headers,
			onStarted: (address, bornAt) =>
				void this.store.put(
					`targets/${name}`,
					JSON.stringify({ ...targetEntryOf(name, address), bornAt }),
				),
		})
	}
}
