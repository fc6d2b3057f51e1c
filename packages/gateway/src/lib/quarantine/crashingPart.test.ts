/** Guards against requests that crash one target after another because they share a part of their prompts. */
import { CrashingTarget, MemoryStore } from '@stallwing/standins'
import { afterEach, describe, expect, it } from 'vitest'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { seededRandom } from '../testFleet.js'
import { TestBox, targetEntryOf } from '../testBox.js'
import { TEST_DIALECT } from '../testDialect.js'
import { trafficConfigOf } from '../testTrafficConfig.js'

const BOX_COUNT = 4
const TARGET_COUNT = 12
const FATAL_INTERVAL_MS = 250
const SOUND_INTERVAL_MS = 25
/** Crashes after which the part must be held, and the time until all boxes hold it, in ms. */
const CRASHES = 5
const CONTACT_MS = 3_000
/** Requests with the part that may still reach targets after that. */
const ALLOWED_LATE = 3
const DURATION_MS = 11_000

describe('a part of prompts that crashes targets', () => {
	let fleet: PartFleet
	afterEach(() => fleet.stop())

	it.each([
		['/once/', ''],
		['/again/', ''],
		['/resume/', ''],
		['/resume/', ', without a length or chunks'],
	])(
		'is held at all boxes while sound requests with the other parts are served, on %s%s',
		async (route, framing) => {
			fleet = new PartFleet(framing !== '')
			await fleet.start()
			const fatal = fleet.sendFatal(route)
			const sound = await fleet.sendSound(route)
			await fatal
			const fifthAt = fleet.crashTimes[CRASHES - 1] ?? fleet.crashTimes.at(-1) ?? 0
			const late = fleet.fatalArrivalTimes.filter((at) => at > fifthAt + CONTACT_MS)
			expect(late.length).toBeLessThanOrEqual(ALLOWED_LATE)
			const after = sound.filter(({ at }) => at > fifthAt + 2 * CONTACT_MS)
			expect(after.length).toBeGreaterThan(20)
			const served = after.filter(({ isServed }) => isServed)
			expect(served.length / after.length).toBeGreaterThan(0.5)
		},
	)

	it('is still held after all boxes have restarted', async () => {
		fleet = new PartFleet()
		await fleet.start()
		const sound = fleet.sendSound('/once/', 4_000)
		await fleet.sendFatal('/once/', 4_000)
		await sound
		const before = fleet.fatalArrivalTimes.length
		await fleet.restartBoxes()
		await fleet.sendFatal('/once/', 2_000)
		expect(fleet.fatalArrivalTimes.length - before).toBeLessThanOrEqual(ALLOWED_LATE)
	})
})

interface SoundResult {
	readonly at: number
	readonly isServed: boolean
}

/** Boxes with a common store, and targets that crash on requests with one part. */
class PartFleet {
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	private boxes: readonly TestBox[] = []
	private targets: readonly CrashingTarget[] = []
	private readonly random = seededRandom(1)
	private sent = 0

	constructor(private readonly isUnframed = false) {}

	async start(): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = Array.from({ length: TARGET_COUNT }, (_, i) => this.makeTarget(`t${i}`))
		await Promise.all(this.targets.map((target) => target.start()))
		await this.startBoxes()
	}

	async restartBoxes(): Promise<void> {
		await Promise.all(this.boxes.map((box) => box.stop()))
		await this.startBoxes()
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.stop()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	get crashTimes(): number[] {
		return this.targets.flatMap(({ crashTimes }) => crashTimes).sort((a, b) => a - b)
	}

	get fatalArrivalTimes(): number[] {
		return this.targets.flatMap(({ fatalArrivalTimes }) => fatalArrivalTimes)
	}

	/** Sends requests with the fatal part, no two alike, to the boxes in turn. */
	async sendFatal(route: string, durationMs = DURATION_MS): Promise<void> {
		const stopAt = performance.now() + durationMs
		while (performance.now() < stopAt) {
			void this.send(route, 'fatal', ['first', 'bad'])
			await sleep(FATAL_INTERVAL_MS)
		}
	}

	/** Sends requests that share the first part and the account with the fatal ones. */
	async sendSound(route: string, durationMs = DURATION_MS): Promise<readonly SoundResult[]> {
		const stopAt = performance.now() + durationMs
		const results: Promise<SoundResult>[] = []
		while (performance.now() < stopAt) {
			results.push(this.send(route, 'sound', ['first', `good-${this.sent % 7}`]))
			await sleep(SOUND_INTERVAL_MS)
		}
		return Promise.all(results)
	}

	private async send(route: string, kind: string, parts: string[]): Promise<SoundResult> {
		const at = performance.now()
		const number = this.sent++
		const id = `${kind}-${number}`
		const headers = { parts: [...parts, `own-${number}`].join() }
		const box = this.boxes[Math.floor(this.random() * BOX_COUNT)]
		const response = await box?.sendRequest(`${route}x`, { id, headers, body: id })
		return { at, isServed: response?.status === 200 && response.isComplete }
	}

	private async startBoxes(): Promise<void> {
		const ports = await Promise.all(Array.from({ length: BOX_COUNT }, freePort))
		this.boxes = ports.map((port, i) => new TestBox(`box-${i}`, this.store, port))
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	private makeTarget(name: string): CrashingTarget {
		return new CrashingTarget({
			name,
			isFatal: (body) => body.startsWith('fatal'),
			crashDelayMs: 60,
			restartDelayMs: 2_500,
			processingMs: 20,
			isUnframed: this.isUnframed,
			headers: TEST_DIALECT.headers,
			onStarted: (address, bornAt) =>
				void this.store.put(
					`targets/${name}`,
					JSON.stringify({ ...targetEntryOf(name, address), bornAt }),
				),
		})
	}
}
