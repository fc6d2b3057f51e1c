import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { LogEventName } from '@stallwing/core'
import { MemoryStore } from '@stallwing/standins'
import { TestTargetLink } from '../forwarding/testTargetLink.js'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, type CallerResponse } from '../testBox.js'
import { TestTarget } from './testTarget.js'
import { LAST_PIECE } from './testTargetMessages.js'

/** How a target ends while it sends answers. */
export type TargetEnd =
	| 'nothing ends'
	| 'nothing ends, and there is one target'
	| 'it leaves, finishes its answers and lives'
	| 'it breaks its answers off and lives'
	| 'it crashes'
	| 'all crash'
	| 'it leaves and crashes'
	| 'its entry goes and it crashes'
	| 'it crashes behind a proxy that goes on accepting'
	| 'it restarts on its port'
	| 'it restarts on its port while the box stands still'
	| 'it crashes while the box stands still'

/**
 * What a caller got.
 * - `short`: an answer that looks complete and is not.
 * - `refused`: the request has not run, which a box may say under load.
 */
export type Outcome = 'whole' | 'short' | 'failed' | 'refused'

/** A request of a caller and its outcome. */
export interface FleetResult {
	readonly id: string
	readonly path: string
	readonly outcome: Outcome
	/** True if a length or chunks state where the answer ends. */
	readonly isFramed: boolean
	/** Times that targets ran it. */
	readonly runs: number
	/** True if it ran at the target that was to end, or at any if all were. */
	readonly wasTroubled: boolean
}

const TARGET_COUNT = 2
const REQUEST_COUNT = 12
const WAIT_TIMEOUT_MS = 9_000
/** Time for which the box stands still, in ms. */
const STANDSTILL_MS = 700
/** Time from the end of the target until the others finish their answers, in ms. */
const FINISH_DELAY_MS = 250
/** Time for which a request is tried whose failure shows that the path is lost, in ms. */
const DETECTION_MS = 300
const MAX_DETECTION_REQUESTS = 20
/** Status of an answer that says that the request has not run. */
const REFUSED = 503
const REPEAT_INTERVAL_MS = 100

/** For tests: targets as processes of their own, and a box that reaches them directly or through a second box. */
export class TestTargetFleet {
	private readonly targets: TestTarget[] = []
	private readonly closers: (() => unknown)[] = []
	private readonly boxes: TestBox[] = []
	private readonly entryLinks = new Map<string, TestTargetLink>()

	constructor(
		private readonly end: TargetEnd,
		private readonly isForwarded: boolean,
	) {}

	/** Sends requests, lets the target end, and resolves once all requests have ended. */
	async play(paths: readonly string[]): Promise<readonly FleetResult[]> {
		await this.start()
		const sent = Array.from({ length: REQUEST_COUNT }, (_, i) => {
			const path = paths[i % paths.length] ?? ''
			return { path, id: `${path}-${i}` }
		})
		const ended = new Set<string>()
		const responses = sent.map(({ id }) => this.sendUntilRun(id).finally(() => ended.add(id)))
		await this.waitUntil(() => sent.every(({ id }) => this.runsOf(id) > 0 || ended.has(id)))
		const troubled = this.busiestTarget()
		await this.letEnd(troubled)
		await sleep(FINISH_DELAY_MS)
		for (const target of this.targets) target.tell('finish')
		const results = (await Promise.all(responses)).map((response, i) => ({
			id: sent[i]?.id ?? '',
			path: sent[i]?.path ?? '',
			outcome: outcomeOf(response),
			isFramed: isFramed(response),
		}))
		return results.map((result) => ({
			...result,
			runs: this.runsOf(result.id),
			wasTroubled: this.end === 'all crash' || troubled.ranIds.includes(result.id),
		}))
	}

	async stop(): Promise<void> {
		for (const target of this.targets) target.kill()
		for (const close of this.closers) await close()
		await Promise.all(this.boxes.map((box) => box.stop()))
	}

	private async start(): Promise<void> {
		const targetCount = this.end === 'nothing ends, and there is one target' ? 1 : TARGET_COUNT
		for (let i = 0; i < targetCount; i++) this.targets.push(new TestTarget(`t${i}`))
		await Promise.all(this.targets.map((target) => target.waitUntilListening()))
		await this.startBoxes()
		for (const target of this.targets) await this.list(target)
		await Promise.all(this.boxes.map((box) => box.waitUntilReady()))
		if (this.isForwarded) await this.cutEntryBox()
	}

	private async startBoxes(): Promise<void> {
		const store = new MemoryStore({ now: () => performance.now(), sleep })
		const names = this.isForwarded ? ['entry', 'other'] : ['entry']
		for (const name of names) {
			const options = { shutdownGraceMs: 0 }
			this.boxes.push(new TestBox(name, store, await freePort(), options))
		}
		this.entryBox.addressOf = (address) => this.entryLinks.get(address)?.address ?? address
		this.entryBox.configure()
		await Promise.all(this.boxes.map((box) => box.start()))
	}

	private get entryBox(): TestBox {
		const [box] = this.boxes
		if (!box) throw new Error('not started')
		return box
	}

	/** Lists a target, behind a proxy if the end is to be hidden by one. */
	private async list(target: TestTarget, isLeaving = false): Promise<void> {
		const direct = `127.0.0.1:${target.port}`
		const isBehindProxy = this.end === 'it crashes behind a proxy that goes on accepting'
		const address = isBehindProxy ? await this.startProxy(target.port) : direct
		if (this.isForwarded && !this.entryLinks.has(address)) await this.addEntryLink(address)
		this.entryBox.listTarget(target.id, address, isLeaving)
	}

	private async addEntryLink(address: string): Promise<void> {
		const link = new TestTargetLink(address)
		await link.start()
		this.entryLinks.set(address, link)
		this.closers.push(() => link.stop())
	}

	/** Cuts the first box off from all targets, and lets it notice. */
	private async cutEntryBox(): Promise<void> {
		for (const link of this.entryLinks.values()) await link.cut('reset')
		const { logEvents } = this.entryBox
		for (let i = 0; !logEvents.some(({ name }) => name === 'service-unreachable'); i++) {
			await this.send(`first-${i}`, '/again/first', DETECTION_MS)
			if (i > MAX_DETECTION_REQUESTS) throw new Error('the lost path is not noticed')
		}
	}

	private async startProxy(port: number): Promise<string> {
		const proxy = new OrderlyProxy(port)
		this.closers.push(() => proxy.stop())
		return proxy.start()
	}

	private send(id: string, path: string, deadlineMs = 6_000): Promise<CallerResponse> {
		return this.entryBox.sendRequest(path, { id, headers: { 'deadline-ms': String(deadlineMs) } })
	}

	/**
	 * Sends a request with its id as path, so that none is held for what another one did to its target; again while it is refused
	 * as not run, as a box does under load.
	 */
	private async sendUntilRun(id: string): Promise<CallerResponse> {
		const until = performance.now() + WAIT_TIMEOUT_MS
		for (;;) {
			const response = await this.send(id, id)
			const isRefused = response.status === REFUSED && this.runsOf(id) === 0
			if (!isRefused || performance.now() > until) return response
			await sleep(REPEAT_INTERVAL_MS)
		}
	}

	private runsOf(id: string): number {
		return this.targets.flatMap(({ ranIds }) => ranIds).filter((ran) => ran === id).length
	}

	private busiestTarget(): TestTarget {
		const [busiest] = [...this.targets].sort((a, b) => b.ranIds.length - a.ranIds.length)
		if (!busiest) throw new Error('no target')
		return busiest
	}

	private async letEnd(target: TestTarget): Promise<void> {
		switch (this.end) {
			case 'nothing ends':
			case 'nothing ends, and there is one target':
				return
			case 'it leaves, finishes its answers and lives':
				return this.leave(target)
			case 'it breaks its answers off and lives':
				target.tell('break-off')
				return
			case 'it crashes':
			case 'it crashes behind a proxy that goes on accepting':
				target.kill()
				return
			case 'all crash':
				for (const each of this.targets) each.kill()
				return
			case 'it leaves and crashes':
				await this.leave(target)
				target.kill()
				return
			case 'its entry goes and it crashes':
				this.entryBox.store.remove(`targets/${target.id}`)
				await this.waitUntilLogged('target-gone', target)
				target.kill()
				return
			case 'it restarts on its port':
				return this.restart(target, () => undefined)
			case 'it restarts on its port while the box stands still':
				return this.restart(target, standStill)
			case 'it crashes while the box stands still':
				target.kill()
				standStill()
		}
	}

	private async leave(target: TestTarget): Promise<void> {
		target.tell('leave')
		await this.list(target, true)
		await this.waitUntilLogged('target-leaving', target)
	}

	/** Waits until all boxes know of a change of a target. */
	private waitUntilLogged(name: LogEventName, { id }: TestTarget): Promise<void> {
		const isKnownTo = ({ logEvents }: TestBox): boolean => {
			return logEvents.some((event) => event.name === name && event.fields['target'] === id)
		}
		return this.waitUntil(() => this.boxes.every(isKnownTo))
	}

	private async restart(target: TestTarget, meanwhile: () => void): Promise<void> {
		target.kill()
		const successor = new TestTarget(`${target.id}-again`, target.port)
		this.targets.push(successor)
		meanwhile()
		await successor.waitUntilListening()
		await this.list(successor)
	}

	private async waitUntil(condition: () => boolean): Promise<void> {
		const until = performance.now() + WAIT_TIMEOUT_MS
		while (!condition()) {
			if (performance.now() > until) throw new Error(`not reached: ${condition.toString()}`)
			await sleep(10)
		}
	}
}

/** Blocks the event loop, as a machine that stands still does for all connections of a box. */
function standStill(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STANDSTILL_MS)
}

function outcomeOf({ body, isComplete, status }: CallerResponse): Outcome {
	if (status === REFUSED) return 'refused'
	if (status !== 200 || !isComplete) return 'failed'
	return body.trimEnd().endsWith(LAST_PIECE) ? 'whole' : 'short'
}

function isFramed({ headers }: CallerResponse): boolean {
	return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}

/** Passes connections on to a port; accepts connections whatever is behind it, and closes all of them in order. */
class OrderlyProxy {
	private readonly server: Server
	private readonly sockets = new Set<Socket>()

	constructor(port: number) {
		this.server = createServer((caller) => {
			const target = connect(port, '127.0.0.1')
			for (const socket of [caller, target]) {
				this.sockets.add(socket)
				socket.on('error', () => undefined)
			}
			target.on('data', (bytes) => caller.write(bytes))
			caller.on('data', (bytes) => target.write(bytes))
			target.on('close', () => caller.end())
			caller.on('close', () => target.destroy())
		})
	}

	/** Resolves to its address. */
	async start(): Promise<string> {
		await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve))
		return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
	}

	stop(): void {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}
}
