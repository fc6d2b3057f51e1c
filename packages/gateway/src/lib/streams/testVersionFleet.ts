import type { IncomingMessage, ServerResponse } from 'node:http'
import { brandId, type Incarnation } from '@stallwing/core'
import { MemoryStore, type MemoryStoreSnapshot } from '@stallwing/standins'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'

/** A stream as its caller received it, over all its attempts. */
export interface ReceivedStream {
	/** Software versions of the targets that wrote the events. */
	readonly versions: ReadonlySet<string>
	readonly eventCount: number
	/** Status of the last attempt. */
	readonly status: number
	/** True if all events arrived and the last answer was complete. */
	readonly isWhole: boolean
}

/** Where and after how many events a caller takes a stream up again. */
export interface TakeUp {
	/** Number of events after which the caller disconnects. */
	readonly afterEvents: number
	readonly box: number
	/** Called between the disconnect and the second attempt. */
	readonly meanwhile?: () => Promise<void> | void
}

/** Number of events of each stream. */
export const EVENTS_PER_STREAM = 8
const EVENT_PATTERN = /^id: (\d+)\ndata: (.*)$/gm

/** For tests: boxes with a common store, and targets that write their software version into each event. */
export class TestVersionFleet {
	boxes: readonly TestBox[] = []
	/** Returns the number of events after which a target breaks a stream off; undefined if it does not. */
	breakAfter: (requestId: string) => number | undefined = () => undefined
	/** The store refuses all calls. */
	isStoreAway = false
	/** Interval between the events of a stream, in ms. */
	eventIntervalMs = 10
	private readonly targetKeys = new Set<string>()
	private readonly killedBoxes: TestBox[] = []
	private readonly killedConnections = new Set<string>()
	private generation = 0
	private readonly store = new MemoryStore({
		now: () => performance.now(),
		sleep,
		outcomeOf: (caller) =>
			this.isStoreAway || this.killedConnections.has(caller) ? 'refused' : 'served',
	})
	private readonly targets = new TestBox('targets', this.store)
	private nextId = 1

	/** Starts the boxes and one target for each version listed. */
	async start(versions: readonly (string | undefined)[], boxCount = 4): Promise<void> {
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		for (const [i, version] of versions.entries()) await this.addTarget(`t${i}`, version)
		await this.startBoxes(boxCount)
	}

	/** Ends all boxes without their doing anything, as a kill does, and starts others under their names. */
	async killAll(): Promise<void> {
		for (const i of this.boxes.keys()) this.killedConnections.add(this.connectionName(i))
		this.killedBoxes.push(...this.boxes)
		await this.startBoxes(this.boxes.length)
	}

	/** The state of the store, for {@link restoreStore}. */
	backUpStore(): MemoryStoreSnapshot {
		return this.store.snapshot()
	}

	/** Restores the store from a backup. Operators and targets write again what they had written since. */
	restoreStore(backup: MemoryStoreSnapshot): void {
		const written = ['config/now', ...this.targetKeys].map(
			(key) => [key, this.store.getText(key)] as const,
		)
		this.store.restore(backup)
		for (const [key, text] of written)
			if (text === undefined) this.store.remove(key)
			else this.store.put(key, text)
	}

	/** Takes an item from the store. */
	removeStored(key: string): void {
		this.store.remove(key)
	}

	/** Name of the connection of a box to the store. */
	private connectionName(index: number): string {
		return `box-${index}#${this.generation}`
	}

	private async startBoxes(count: number): Promise<void> {
		const ports = await Promise.all(Array.from({ length: count }, freePort))
		this.generation++
		const isFirstStart = this.generation === 1
		this.boxes = ports.map((port, i) => {
			const connection = this.store.connection(this.connectionName(i))
			const incarnation = brandId<Incarnation>(`${this.generation} of box-${i}`)
			const options = { store: connection, isFirstStart, incarnation }
			return new TestBox(`box-${i}`, this.store, port, options)
		})
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		await Promise.all([...this.boxes, ...this.killedBoxes].map((box) => box.stop()))
		await this.targets.stop()
	}

	/** Starts a target of a software version and lists it in the store. */
	async addTarget(name: string, version: string | undefined): Promise<void> {
		await this.targets.addTarget(name, (message, response) => {
			void this.writeEvents(version ?? 'none', message, response)
		})
		const key = `targets/${name}`
		this.targetKeys.add(key)
		const entry = JSON.parse(this.store.getText(key) ?? '{}') as object
		this.store.put(key, JSON.stringify({ ...entry, softwareVersion: version }))
	}

	removeTarget(name: string): void {
		this.store.remove(`targets/${name}`)
	}

	/** Sends a stream to a box, and takes it up again at another box if asked to. */
	async requestStream(box: number, takeUp?: TakeUp): Promise<ReceivedStream> {
		const id = `s${this.nextId++}`
		const first = await this.requestEvents(box, id, {}, takeUp?.afterEvents)
		const events = eventsOf(first.body)
		if (first.isComplete || !takeUp) return streamOf(events, first)
		await takeUp.meanwhile?.()
		const last = events.at(-1)?.id ?? 0
		const resumed = { 'last-event-id': String(last), 'resumed-request': id }
		const second = await this.requestEvents(takeUp.box, `s${this.nextId++}`, resumed)
		return streamOf([...events, ...eventsOf(second.body)], second)
	}

	/** Sends an attempt at a stream, and disconnects after some events. */
	requestEvents(
		box: number,
		id: string,
		headers: Record<string, string>,
		disconnectAfter = Number.POSITIVE_INFINITY,
	): Promise<CallerResponse> {
		let received = ''
		return this.boxes[box]?.sendRequest('/resume/x', {
			id,
			headers: { 'deadline-ms': '2000', ...headers },
			onChunk: (disconnect, chunk) => {
				received += chunk
				if (eventsOf(received).length >= disconnectAfter) disconnect()
			},
		}) as Promise<CallerResponse>
	}

	/** Number of requests that targets have received. */
	get receivedCount(): number {
		return this.targets.receivedRequests.length
	}

	private async writeEvents(
		version: string,
		message: IncomingMessage,
		response: ServerResponse,
	): Promise<void> {
		const first = Number(message.headers['last-event-id'] ?? 0) + 1
		const breakAfter = this.breakAfter(String(message.headers['request-id']))
		response.writeHead(200, { 'Content-Type': 'text/event-stream' })
		for (let id = first; id <= EVENTS_PER_STREAM && !response.destroyed; id++) {
			if (id - first === breakAfter) {
				response.destroy()
				return
			}
			response.write(`id: ${id}\ndata: ${version}\n\n`)
			await sleep(this.eventIntervalMs)
		}
		response.end()
	}
}

interface ReceivedEvent {
	readonly id: number
	readonly version: string
}

function eventsOf(body: string): readonly ReceivedEvent[] {
	return [...body.matchAll(EVENT_PATTERN)].map(([, id, version]) => ({
		id: Number(id),
		version: version ?? '',
	}))
}

function streamOf(events: readonly ReceivedEvent[], last: CallerResponse): ReceivedStream {
	return {
		versions: new Set(events.map(({ version }) => version)),
		eventCount: events.length,
		status: last.status,
		isWhole: last.isComplete && events.length === EVENTS_PER_STREAM,
	}
}
