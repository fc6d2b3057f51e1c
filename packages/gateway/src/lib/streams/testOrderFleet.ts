import {
	brandId,
	type Incarnation,
	type ServiceName,
	type SoftwareVersion,
	type TargetEntry,
} from '@stallwing/core'
import { MemoryStore } from '@stallwing/standins'
import { freePort } from '../freePort.js'
import { sleep } from '../sleep.js'
import { TestBox, targetEntryOf } from '../testBox.js'
import { trafficConfigOf } from '../testTrafficConfig.js'
import type { ReachableBox } from './testOrderCaller.js'
import type { OrderRun } from './testOrderChecker.js'
import { TestOrderTarget, type RunPlan } from './testOrderTarget.js'

export const ORDER_SERVICES = ['service', 'other'] as const

interface RunningBox extends ReachableBox {
	readonly box: TestBox
	readonly connection: string
}

type NamedBox = TestBox & { readonly name: string }

interface ListedTarget {
	readonly target: TestOrderTarget
	isLeaving: boolean
}

/** For tests: boxes and targets that are killed, replaced, cut off and moved while streams run. */
export class TestOrderFleet {
	readonly runs: OrderRun[] = []
	readonly targets = new Map<string, ListedTarget>()
	/** Running boxes by name. */
	readonly boxes = new Map<string, RunningBox>()
	readonly allBoxes: NamedBox[] = []
	/** What happens to the calls of boxes that are cut off from the store. */
	private readonly cutOff = new Map<string, 'refused' | 'lost'>()
	private configVersion = 0
	private generation = 0
	private nextTarget = 1
	private readonly store = new MemoryStore({
		now: () => performance.now(),
		sleep,
		outcomeOf: (caller) => this.cutOff.get(caller) ?? 'served',
	})

	constructor(
		private readonly random: () => number,
		private readonly planOf: (run: OrderRun, path: string) => RunPlan,
		private readonly isUnderPressure: boolean,
	) {}

	async start(boxCount: number, versions: readonly string[]): Promise<void> {
		this.route([1, 0])
		for (const service of ORDER_SERVICES)
			for (const version of versions) await this.addTarget(service, version)
		const names = Array.from({ length: boxCount }, (_, i) => `box-${i}`)
		await Promise.all(names.map((name) => this.startBox(name)))
	}

	async stop(): Promise<void> {
		await Promise.all([...this.targets.values()].map(({ target }) => target.kill(true)))
		await Promise.all(this.allBoxes.map((box) => box.stop()))
	}

	/** What the boxes logged of these requests, and of the streams that these take up, with the names of the boxes. */
	logOf(requests: ReadonlySet<string>): readonly string[] {
		return this.allBoxes.flatMap((box) =>
			box.logEvents
				.filter(({ fields }) => requests.has(String(fields.request ?? fields.resumes)))
				.map((event) => {
					const at = Math.round(box.logTimes.get(event) ?? 0)
					return `  ${at} ${box.name} ${event.name} ${JSON.stringify(event.fields)}`
				}),
		)
	}

	/** Sends streams to the two services, in these proportions. */
	route([weight, otherWeight]: readonly [number, number]): void {
		const shares = ORDER_SERVICES.map((name, i) => ({
			service: brandId<ServiceName>(name),
			weight: i === 0 ? weight : otherWeight,
		})).filter((share) => share.weight > 0)
		const config = trafficConfigOf(++this.configVersion)
		const [service] = config.services
		const routes = config.routes.map((route) => ({ ...route, maxAttempts: 3, shares }))
		const services = ORDER_SERVICES.map((name) => ({
			...service,
			name: brandId<ServiceName>(name),
		}))
		this.store.put('config/now', JSON.stringify({ ...config, routes, services }))
	}

	async addTarget(service: string, version: string, port = 0): Promise<void> {
		const name = `t${this.nextTarget++}`
		const { planOf, random, runs } = this
		const target = new TestOrderTarget({ name, service, version, runs, planOf, random })
		await target.start(port)
		const listed = { target, isLeaving: false }
		this.targets.set(name, listed)
		this.list(listed)
	}

	/** Kills a target; its entry goes some time later. Another one may start at its port before that. */
	async killTarget(listed: ListedTarget, successorVersion: string | undefined): Promise<void> {
		const { name, service } = listed.target.options
		const { port } = listed.target
		this.targets.delete(name)
		await listed.target.kill(this.random() < 0.5)
		if (successorVersion !== undefined) await this.addTarget(service, successorVersion, port)
		await sleep(this.random() * 1_200)
		this.store.remove(`targets/${name}`)
	}

	/** A target leaves in the planned way. */
	async retireTarget(listed: ListedTarget): Promise<void> {
		listed.isLeaving = true
		this.list(listed)
		this.targets.delete(listed.target.options.name)
		await sleep(1_500)
		this.store.remove(`targets/${listed.target.options.name}`)
		await listed.target.kill(false)
	}

	private list({ isLeaving, target }: ListedTarget): void {
		const { name, service, version } = target.options
		const entry: TargetEntry = {
			...targetEntryOf(name, `127.0.0.1:${target.port}`, isLeaving),
			service: brandId<ServiceName>(service),
			softwareVersion: brandId<SoftwareVersion>(version),
			slots: 64,
		}
		this.store.put(`targets/${name}`, JSON.stringify(entry))
	}

	/** Ends a box without its doing anything, as a kill does, and starts another one under its name. */
	async killBox(name: string): Promise<void> {
		const killed = this.boxes.get(name)
		if (!killed) return
		this.boxes.delete(name)
		this.cutOff.set(killed.connection, 'refused')
		for (const request of killed.open) request.destroy()
		await sleep(this.random() * 800)
		await this.startBox(name)
	}

	/** Stops a box in the planned way, and starts another one under its name. */
	async stopBox(name: string): Promise<void> {
		const stopped = this.boxes.get(name)
		if (!stopped) return
		this.boxes.delete(name)
		await stopped.box.stop()
		await this.startBox(name)
	}

	/** The store refuses the calls of a box for this time, or does not answer them. */
	async cutBoxOff(name: string, ms: number): Promise<void> {
		const connection = this.boxes.get(name)?.connection ?? ''
		this.cutOff.set(connection, this.random() < 0.5 ? 'refused' : 'lost')
		await sleep(ms)
		// The connection of a box that was killed meanwhile stays closed.
		if (this.boxes.get(name)?.connection === connection) this.cutOff.delete(connection)
	}

	private async startBox(name: string): Promise<void> {
		const generation = ++this.generation
		const connection = `${name}#${generation}`
		const box = new TestBox(name, this.store, await freePort(), {
			store: this.store.connection(connection),
			isFirstStart: this.boxes.size === 0 && this.allBoxes.length === this.boxes.size,
			incarnation: brandId<Incarnation>(connection),
			shutdownGraceMs: 1_500,
			isUnderPressure: this.isUnderPressure,
			capacity: { cores: 1, memoryBytes: 400_000_000, linkBytesPerSecond: undefined },
		})
		this.allBoxes.push(Object.assign(box, { name }))
		await box.start()
		await box.waitUntilReady()
		this.boxes.set(name, { name, port: box.port, open: new Set(), box, connection })
	}
}
