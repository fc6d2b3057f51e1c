/**
 * What was seen: a request ended one target after the other, eight and ten of them, for as long as its caller came back.
 * How it came about: each try reached another box, or the same one as a new request, and was sent to a target that was
 * up again; all other requests at that target broke off with it.
 * Cause: what a request did to its targets was filed under the target and under the try, and forgotten with both.
 * Proof: lines of broken answers carry the content of the request; all ends of targets in a row had one in common, sent
 * by four boxes, some of which had seen an earlier end themselves.
 */
import { CrashingTarget, MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from './freePort.js'
import { sleep } from './sleep.js'
import { TEST_DIALECT, TestBox, trafficConfigOf, targetEntryOf } from './testBox.js'

const FATAL = 'fatal'
const BOX_COUNT = 4
const TARGET_COUNT = 12
/** Runs of a request that prove that it ends its targets. */
const CRASHES_UNTIL_QUARANTINE = 3
/** Time after the third end from which boxes in touch must know of it, in ms. */
const PROPAGATION_MS = 3_000
/** Pause between two tries of the caller, in ms. */
const RETRY_DELAY_MS = 150
/** For how long the caller comes back, in ms: the third end, the time in touch, and ten tries more. */
const DURATION_MS = 6_000

describe('a request that ends its targets', () => {
	let fleet: CrashFleet
	afterEach(() => fleet.stop())

	const routes = ['/once/', '/again/', '/resume/']
	it.each(routes)('is refused by all boxes after three of them, on %s', async (route) => {
		fleet = new CrashFleet()
		await fleet.start()
		const others = fleet.sendOtherRequests(route)
		await fleet.sendFatalRequests(route)
		const served = await others
		expect(fleet.crashTimes.length).toBeGreaterThanOrEqual(CRASHES_UNTIL_QUARANTINE)
		// One that another box has already sent when the third target ends.
		expect(fleet.crashTimes.length).toBeLessThanOrEqual(CRASHES_UNTIL_QUARANTINE + BOX_COUNT)
		expect(fleet.lateCrashCount).toBe(0)
		expect(served.lateFailures).toBe(0)
	})

	it('is still refused when all boxes have started anew', async () => {
		fleet = new CrashFleet()
		await fleet.start()
		await fleet.sendFatalRequests('/once/', 2_000)
		const before = fleet.crashTimes.length
		await fleet.restartBoxes()
		await fleet.sendFatalRequests('/once/', 2_000)
		expect(before).toBeGreaterThanOrEqual(CRASHES_UNTIL_QUARANTINE)
		expect(fleet.crashTimes.length).toBe(before)
	})

	it('runs again at all boxes once an operator released it', async () => {
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

/** Boxes over one store, and targets that one request ends. */
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

	/** All boxes end at once and start anew: what they had in memory is gone. */
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

	/** Requests that any box holds back. */
	get quarantined(): string[] {
		return this.boxes.flatMap((box) =>
			box.gateway.status().quarantined.map((request) => request.fingerprint),
		)
	}

	/** Releases a request at one box. */
	release(fingerprint: string): boolean {
		return this.boxes[0]?.gateway.releaseQuarantined(fingerprint) ?? false
	}

	/** Times at which targets ended, in order. */
	get crashTimes(): number[] {
		return this.targets.flatMap((target) => target.crashTimes).sort((a, b) => a - b)
	}

	/** Ends of targets at a time at which all boxes had to know. */
	get lateCrashCount(): number {
		const proved = this.crashTimes[CRASHES_UNTIL_QUARANTINE - 1] ?? Infinity
		return this.crashTimes.filter((at) => at > proved + PROPAGATION_MS).length
	}

	/** One caller that comes back to any box, whatever the answer. */
	async sendFatalRequests(route: string, forMs = DURATION_MS): Promise<void> {
		const until = performance.now() + forMs
		for (let i = 0; performance.now() < until; i++) {
			void this.boxes[i % BOX_COUNT]?.sendRequest(`${route}x`, { id: `fatal-${i}`, body: FATAL })
			await sleep(RETRY_DELAY_MS)
		}
	}

	/** Other callers beside it; how many were not served although all boxes had to know. */
	async sendOtherRequests(route: string): Promise<{ readonly lateFailures: number }> {
		const until = performance.now() + DURATION_MS
		let lateFailures = 0
		for (let i = 0; performance.now() < until; i++) {
			const box = this.boxes[(i * 3) % BOX_COUNT]
			const at = performance.now()
			void box
				?.sendRequest(`${route}other`, { id: `other-${i}`, body: `body ${i}` })
				.then((answer) => {
					const isLate =
						at > (this.crashTimes[CRASHES_UNTIL_QUARANTINE - 1] ?? Infinity) + PROPAGATION_MS
					if (isLate && answer.status !== 200) lateFailures++
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
