import { MemoryStore } from '@stallwing/standins'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type TargetHandler } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'
import { TestTargetLink, type LinkCut } from './testTargetLink.js'

/** A request to a box and its outcome. */
export interface RequestResult {
	readonly box: number
	/** Time at which it was sent on the monotonic clock, in ms. */
	readonly at: number
	readonly path: string
	readonly status: number
	readonly isServed: boolean
	readonly tookMs: number
}

const BOX_COUNT = 4
const TARGET_COUNT = 6
const TARGET_PROCESSING_MS = 15
const REQUEST_INTERVAL_MS = 10
/** Answers until a target closes a connection, so that boxes have to open new ones; not a multiple of the boxes. */
const ANSWERS_PER_CONNECTION = 7
const PATHS = ['/once/x', '/again/x', '/stream/x']

/** For tests: boxes with a common store, and targets that each box reaches over links of its own. */
export class TestPartitionedFleet {
	boxes: readonly TestBox[] = []
	private readonly store = new MemoryStore({ now: () => performance.now(), sleep })
	/** Replaces the answers of all targets if set. */
	handler: TargetHandler | undefined
	/** Links of each box to the targets, by the address in the target list. */
	private readonly links: Map<string, TestTargetLink>[] = []
	private targets: TestBox | undefined
	private answerCount = 0

	async start(): Promise<void> {
		const ports = await Promise.all(Array.from({ length: BOX_COUNT }, freePort))
		this.boxes = ports.map((port, i) => this.makeBox(i, port))
		this.store.put('config/now', JSON.stringify(trafficConfigOf(1)))
		this.targets = new TestBox('targets', this.store)
		for (let i = 0; i < TARGET_COUNT; i++) await this.addTarget(`t${i}`)
		await Promise.all(this.boxes.map((box) => box.start()))
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
	}

	async stop(): Promise<void> {
		await Promise.all(this.allLinks.map((link) => link.stop()))
		await Promise.all(this.boxes.map((box) => box.stop()))
		await this.targets?.stop()
	}

	/** Cuts the links of a box to all targets. */
	async cut(box: number, kind: LinkCut): Promise<void> {
		await Promise.all(this.linksOf(box).map((link) => link.cut(kind)))
	}

	async heal(box: number): Promise<void> {
		await Promise.all(this.linksOf(box).map((link) => link.heal()))
	}

	/** Sends requests of three routes to all boxes in turn. Resolves when all of them have ended. */
	async sendRequests(durationMs: number): Promise<readonly RequestResult[]> {
		const stopAt = performance.now() + durationMs
		const results: Promise<RequestResult>[] = []
		for (let i = 0; performance.now() < stopAt; i++) {
			const path = PATHS[Math.floor(i / BOX_COUNT) % PATHS.length] ?? ''
			results.push(this.sendRequest(i % BOX_COUNT, path, `r${i}`))
			await sleep(REQUEST_INTERVAL_MS)
		}
		return Promise.all(results)
	}

	async sendRequest(box: number, path: string, id: string): Promise<RequestResult> {
		const at = performance.now()
		const headers = { 'deadline-ms': '1000' }
		const response = await this.boxes[box]?.sendRequest(path, { id, headers })
		const status = response?.status ?? 0
		const isServed = status === 200 && response?.isComplete === true
		return { box, at, path, status, isServed, tookMs: performance.now() - at }
	}

	/** Requests of callers that targets have received. */
	get receivedCount(): number {
		return this.receivedIds.length
	}

	/** Ids of requests that may run only once and ran more often. */
	get repeatedIds(): string[] {
		const ids = this.receivedIds
		return ids.filter((id, i) => ids.indexOf(id) !== i && !this.isRepeatable(id))
	}

	/** Ids of the requests of callers that targets have received; health checks have none. */
	private get receivedIds(): string[] {
		const received = this.targets?.receivedRequests ?? []
		return received.flatMap(({ headers }) => headers['request-id'] ?? [])
	}

	/** Requests of the second route may run more than once. */
	private isRepeatable(id: string): boolean {
		const number = Number(/^r(\d+)/.exec(id)?.[1])
		return PATHS[Math.floor(number / BOX_COUNT) % PATHS.length] === '/again/x'
	}

	private makeBox(index: number, port: number): TestBox {
		const links = new Map<string, TestTargetLink>()
		this.links.push(links)
		const box = new TestBox(`box-${index}`, this.store, port)
		box.addressOf = (address) => links.get(address)?.address ?? address
		return box
	}

	private async addTarget(name: string): Promise<void> {
		const { targets } = this
		if (!targets) return
		await targets.addTarget(name, (message, response, body) => {
			if (this.handler) return this.handler(message, response, body)
			this.answerCount++
			if (this.answerCount % ANSWERS_PER_CONNECTION === 0) response.shouldKeepAlive = false
			setTimeout(() => {
				if (message.url?.startsWith('/stream/'))
					response.setHeader('Content-Type', 'text/event-stream').end('id: 1\ndata: a\n\n')
				else response.end('ok')
			}, TARGET_PROCESSING_MS)
		})
		const address = targets.addressOfTarget(name)
		for (const links of this.links) {
			const link = new TestTargetLink(address)
			await link.start()
			links.set(address, link)
		}
	}

	private linksOf(box: number): TestTargetLink[] {
		return [...(this.links[box]?.values() ?? [])]
	}

	private get allLinks(): TestTargetLink[] {
		return this.links.flatMap((links) => [...links.values()])
	}
}
