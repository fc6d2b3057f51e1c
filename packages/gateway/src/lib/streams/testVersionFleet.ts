import type { IncomingMessage, ServerResponse } from 'node:http'
import { brandId, type Incarnation, type LogEvent } from '@stallwing/core'
import { MemoryStore, type MemoryStoreSnapshot } from '@stallwing/standins'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'
import type { TestBoxLinks } from './testBoxLinks.js'

/** A stream as its caller received it, over all its attempts. */
export interface ReceivedStream {
	/** Id of the last attempt. */
	readonly lastRequest: string
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
	/** The box, or a function that chooses it after the disconnect. */
	readonly box: number | (() => number)
	/** Called between the disconnect and the second attempt. */
	readonly meanwhile?: () => Promise<void> | void
}

/** Number of events of each stream. */
export const EVENTS_PER_STREAM = 8
const EVENT_PATTERN = /^id: (\d+)\ndata: (.*)$/gm

/** For tests: boxes with a common store, and targets that write their software version into each event. */
export class TestVersionFleet {
	readonly boxes: TestBox[] = []
	/** Returns the number of events after which a target breaks a stream off; undefined if it does not. */
	breakAfter: (requestId: string) => number | undefined = () => undefined
	/** The store refuses all calls. */
	isStoreAway = false
	/** Set before the start, so that paths to the store and between boxes can be cut. */
	links: TestBoxLinks | undefined
	/** Interval between the events of a stream, in ms. */
	eventIntervalMs = 10
	private readonly targetKeys = new Set<string>()
	/** Boxes that were killed and have not started again. */
	readonly downBoxes = new Set<number>()
	private readonly killedBoxes: TestBox[] = []
	private readonly killedConnections = new Set<string>()
	/** Number of processes of each box so far. */
	private readonly generations = new Map<number, number>()
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
		await this.startBoxes(Array.from({ length: boxCount }, (_, i) => i))
	}

	/** Ends all boxes without their doing anything, as a kill does, and starts others under their names. */
	async killAll(): Promise<void> {
		await this.kill([...this.boxes.keys()])
	}

	/** Ends boxes without their doing anything, and starts others under their names after `downMs`. */
	async kill(killed: readonly number[], downMs = 0): Promise<void> {
		for (const i of killed) {
			const box = this.boxes[i]
			if (box) this.killedBoxes.push(box)
			this.downBoxes.add(i)
			this.killedConnections.add(this.connectionName(i))
			await this.links?.setPeerPort(`box-${i}`, undefined)
		}
		if (downMs > 0) await sleep(downMs)
		await this.startBoxes(killed)
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

	/** Name of the running process of a box; its connection to the store has the same. */
	connectionName(index: number): string {
		return `box-${index}#${this.generations.get(index) ?? 0}`
	}

	private async startBoxes(indices: readonly number[]): Promise<void> {
		const started = await Promise.all(indices.map((i) => this.startBox(i)))
		await Promise.all(started.map((box) => box.waitUntilReady()))
	}

	private async startBox(index: number): Promise<TestBox> {
		const port = await freePort()
		const generation = (this.generations.get(index) ?? 0) + 1
		this.generations.set(index, generation)
		const name = this.connectionName(index)
		const connection = this.store.connection(name)
		const box = new TestBox(`box-${index}`, this.store, port, {
			store: this.links?.storeFor(name, connection) ?? connection,
			isFirstStart: generation === 1,
			incarnation: brandId<Incarnation>(`${generation} of box-${index}`),
		})
		await this.links?.setPeerPort(`box-${index}`, port)
		await box.start()
		this.boxes[index] = box
		this.downBoxes.delete(index)
		return box
	}

	async stop(): Promise<void> {
		await Promise.all([...this.boxes, ...this.killedBoxes].map((box) => box.stop()))
		await this.targets.stop()
		await this.links?.stop()
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
	async requestStream(firstBox: number, takeUp?: TakeUp): Promise<ReceivedStream> {
		const id = `s${this.nextId++}`
		const first = await this.requestEvents(firstBox, id, {}, takeUp?.afterEvents)
		const events = eventsOf(first.body)
		if (first.isComplete || !takeUp) return streamOf(id, events, first)
		await takeUp.meanwhile?.()
		const last = events.at(-1)?.id ?? 0
		const resumed = { 'last-event-id': String(last), 'resumed-request': id }
		const box = typeof takeUp.box === 'number' ? takeUp.box : takeUp.box()
		const secondId = `s${this.nextId++}`
		const second = await this.requestEvents(box, secondId, resumed)
		return streamOf(secondId, [...events, ...eventsOf(second.body)], second)
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

	/** What the running boxes logged of a search for the beginning of a stream that this request resumes. */
	lookupsOf(request: string): readonly LogEvent['fields'][] {
		return this.boxes
			.flatMap(({ logEvents }) => logEvents)
			.filter(({ fields, name }) => name === 'stream-looked-up' && fields.request === request)
			.map(({ fields }) => fields)
	}

	/** Why a running box refused a request; undefined if none did. */
	refusalOf(request: string): string | undefined {
		const refusal = this.boxes
			.flatMap(({ logEvents }) => logEvents)
			.find(({ fields, name }) => name === 'request-refused' && fields.request === request)
		return refusal && String(refusal.fields.detail)
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

function streamOf(
	lastRequest: string,
	events: readonly ReceivedEvent[],
	last: CallerResponse,
): ReceivedStream {
	return {
		lastRequest,
		versions: new Set(events.map(({ version }) => version)),
		eventCount: events.length,
		status: last.status,
		isWhole: last.isComplete && events.length === EVENTS_PER_STREAM,
	}
}
