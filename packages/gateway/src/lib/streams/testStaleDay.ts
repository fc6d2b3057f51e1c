import { sleep } from '../sleep.js'
import { TestBoxLinks, type StoreMode } from './testBoxLinks.js'
import { TestVersionFleet, type ReceivedStream } from './testVersionFleet.js'

/** What one box can't learn while a second software version of a service starts, and what else happens then. */
export interface StaleDay {
	/** How the store treats the box. */
	readonly store: StoreMode
	/** The other boxes that it reaches. */
	readonly peers: 'all' | 'one' | 'none'
	/** The box has just been restarted when trouble begins. */
	readonly isJustStarted: boolean
	/** The targets of the first version leave the list, and run on. */
	readonly isReplaced: boolean
	/** The targets of the second version leave the list again before trouble ends. */
	readonly isRolledBack: boolean
	/** When the second version starts, after the beginning of trouble, in ms. */
	readonly secondAfterMs: number
	/** What happens to the other boxes, at which the streams begin. */
	readonly others: 'live' | 'killed' | 'killed, no store' | 'cut off'
	/** When the other boxes are killed, after the start of the second version, in ms. */
	readonly killedAfterMs: number
	/** False if the second version never starts. */
	readonly hasSecond: boolean
}

/** What callers got. */
export interface StaleDayResult {
	readonly takenUp: number
	/** What boxes logged of the streams with events of two versions, one entry for each. */
	readonly mixed: readonly string[]
	/**
	 * Shares of the streams that went on, taken up at the box in trouble and at the others; there without those whose targets
	 * had all left.
	 */
	readonly wholeAtStale: number
	readonly wholeAtOthers: number
	/** Share of the new streams that began, at boxes that can learn all. */
	readonly begun: number
	/** Longest time to a refusal, in ms. */
	readonly slowestRefusalMs: number
}

export const CALM_DAY: StaleDay = {
	store: 'answers',
	peers: 'all',
	isJustStarted: false,
	isReplaced: false,
	isRolledBack: false,
	secondAfterMs: 200,
	others: 'live',
	killedAfterMs: 0,
	hasSecond: true,
}

const STALE_BOX = 3
const OTHERS = [0, 1, 2] as const
const STREAM_INTERVAL_MS = 50
const EVENT_INTERVAL_MS = 120
const TARGETS_PER_VERSION = 3
const CALM_MS = 800
const TROUBLE_MS = 5_000
const AFTER_MS = 1_500
const REPLACED_AFTER_MS = 300
const ROLLED_BACK_BEFORE_END_MS = 1_500
const DOWN_MS = 300

interface TakenUp {
	readonly box: number
	readonly stream: ReceivedStream
}

/** Plays a day: boxes 0 to 2 begin streams, which are taken up at the box in trouble or at another one. */
export async function playStaleDay(day: StaleDay): Promise<StaleDayResult> {
	const fleet = new TestVersionFleet()
	const links = new TestBoxLinks()
	fleet.links = links
	fleet.eventIntervalMs = EVENT_INTERVAL_MS
	await fleet.start(Array.from({ length: TARGETS_PER_VERSION }, () => '1'))
	const streams = new StreamLoad(fleet)
	const load = streams.run(CALM_MS + TROUBLE_MS + AFTER_MS)
	await sleep(CALM_MS)
	await playTrouble(fleet, links, day)
	await load
	const result = streams.result()
	await fleet.stop()
	return result
}

async function playTrouble(
	fleet: TestVersionFleet,
	links: TestBoxLinks,
	day: StaleDay,
): Promise<void> {
	const startedAt = performance.now()
	const until = (ms: number): Promise<void> => sleep(startedAt + ms - performance.now())
	if (day.isJustStarted) await fleet.kill([STALE_BOX])
	await cut(fleet, links, day)
	await until(day.secondAfterMs)
	const pending: Promise<void>[] = []
	if (day.hasSecond) pending.push(startSecond(fleet, day))
	if (day.others.startsWith('killed')) {
		await until(day.secondAfterMs + day.killedAfterMs)
		if (day.others === 'killed, no store') cutAllFromStore(fleet, links)
		await links.cutPeers(() => false)
		pending.push(fleet.kill(OTHERS, DOWN_MS))
	}
	await until(TROUBLE_MS - ROLLED_BACK_BEFORE_END_MS)
	if (day.isRolledBack) await rollBack(fleet)
	await until(TROUBLE_MS)
	await links.cutPeers(() => false)
	for (const i of [...OTHERS, STALE_BOX])
		for (const generation of [1, 2, 3]) links.setStoreMode(`box-${i}#${generation}`, 'answers')
	await Promise.all(pending)
}

async function cut(
	fleet: TestVersionFleet,
	links: TestBoxLinks,
	{ others, peers, store }: StaleDay,
): Promise<void> {
	links.setStoreMode(fleet.connectionName(STALE_BOX), store)
	const stale = `box-${STALE_BOX}`
	const reached = peers === 'one' ? ['box-1'] : []
	await links.cutPeers((a, b) => {
		if (others === 'cut off' && a !== b) return true
		return peers !== 'all' && a === stale && !reached.includes(b)
	})
}

function cutAllFromStore(fleet: TestVersionFleet, links: TestBoxLinks): void {
	for (const i of OTHERS) {
		links.setStoreMode(fleet.connectionName(i), 'silent')
		links.setStoreMode(`box-${i}#2`, 'silent')
	}
}

async function startSecond(fleet: TestVersionFleet, { isReplaced }: StaleDay): Promise<void> {
	for (let i = 0; i < TARGETS_PER_VERSION; i++) await fleet.addTarget(`n${i}`, '2')
	if (!isReplaced) return
	await sleep(REPLACED_AFTER_MS)
	for (let i = 0; i < TARGETS_PER_VERSION; i++) fleet.removeTarget(`t${i}`)
}

async function rollBack(fleet: TestVersionFleet): Promise<void> {
	for (let i = 0; i < TARGETS_PER_VERSION; i++) {
		fleet.removeTarget(`n${i}`)
		await fleet.addTarget(`b${i}`, '1')
	}
}

/** Begins streams at a steady rate, and has their callers take them up. */
class StreamLoad {
	private readonly takenUp: TakenUp[] = []
	private begun = 0
	private attempted = 0
	private slowestRefusalMs = 0

	constructor(private readonly fleet: TestVersionFleet) {}

	async run(lengthMs: number): Promise<void> {
		const pending: Promise<void>[] = []
		const until = performance.now() + lengthMs
		for (let i = 0; performance.now() < until; i++) {
			pending.push(this.playStream(i))
			await sleep(STREAM_INTERVAL_MS)
		}
		await Promise.all(pending)
	}

	result(): StaleDayResult {
		const { begun, attempted, slowestRefusalMs, takenUp } = this
		const atStale = takenUp.filter(({ box }) => box === STALE_BOX)
		const atOthers = takenUp.filter(
			({ box, stream }) => box !== STALE_BOX && !this.isVersionGone(stream),
		)
		return {
			takenUp: takenUp.length,
			mixed: takenUp.flatMap(({ box, stream }) =>
				stream.versions.size > 1 ? [this.describe(box, stream)] : [],
			),
			wholeAtStale: shareWhole(atStale),
			wholeAtOthers: shareWhole(atOthers),
			begun: begun / Math.max(1, attempted),
			slowestRefusalMs: Math.round(slowestRefusalMs),
		}
	}

	/** True if the stream was refused because the targets of its version have left, as they may. */
	private isVersionGone({ lastRequest }: ReceivedStream): boolean {
		return this.fleet.refusalOf(lastRequest)?.startsWith('no target of version') === true
	}

	private describe(box: number, { lastRequest, versions }: ReceivedStream): string {
		const lookups = JSON.stringify(this.fleet.lookupsOf(lastRequest))
		return `at box ${box}: ${[...versions].join(' then ')}; ${lookups}`
	}

	private async playStream(index: number): Promise<void> {
		const first = index % OTHERS.length
		if (this.fleet.downBoxes.has(first)) return
		this.attempted++
		let takeUpBox = -1
		let takenUpAt = 0
		const stream = await this.fleet.requestStream(first, {
			afterEvents: 1 + (index % 5),
			box: () => {
				takenUpAt = performance.now()
				takeUpBox = this.takeUpBoxFor(index)
				return takeUpBox
			},
		})
		if (stream.eventCount > 0) this.begun++
		if (takeUpBox < 0 || stream.eventCount === 0) return
		this.takenUp.push({ box: takeUpBox, stream })
		if (stream.status === 503)
			this.slowestRefusalMs = Math.max(this.slowestRefusalMs, performance.now() - takenUpAt)
	}

	/** Two of three streams are taken up at the box in trouble. */
	private takeUpBoxFor(index: number): number {
		const other = (index + 1) % OTHERS.length
		return index % 9 < 6 || this.fleet.downBoxes.has(other) ? STALE_BOX : other
	}
}

function shareWhole(takenUp: readonly TakenUp[]): number {
	if (takenUp.length === 0) return 1
	const share = takenUp.filter(({ stream }) => stream.isWhole).length / takenUp.length
	return Math.round(share * 100) / 100
}
