import {
	brandId,
	type AccountName,
	type BoxName,
	type Budgets,
	type Incarnation,
} from '@stallwing/core'
import { MemoryStore, type CallFate } from '@stallwing/standins'
import { EraTrackingStore, type KeyValueStore } from '@stallwing/store'
import { Metrics } from '@stallwing/telemetry'
import { vi } from 'vitest'
import { AllowanceClient } from './AllowanceClient.js'
import { EMPTY_LEND_RESPONSE, type TokenPeers } from './TokenLending.js'
import { sleep } from './sleep.js'

export const ACCOUNT = brandId<AccountName>('acme')
export const BOXES = ['box-1', 'box-2', 'box-3'] as const
/** Time in which all boxes have claimed the right to draw: a claim waits for the age of its process. */
export const CLAIM_ALL_MS = 1_000

/** One process of a box. */
interface BoxProcess {
	client: AllowanceClient
	isDead: boolean
	/** For how long its machine was suspended while it ran, in ms. */
	suspendedMs: number
	/** Resolves when its machine goes on; undefined while it runs. */
	resumed: Promise<void> | undefined
}

/** Some boxes that share one budget, in virtual time. */
export class BudgetTestFleet {
	spent = 0
	/** Records of money that a box could not read. */
	unreadableRecords = 0
	readonly store: MemoryStore
	private readonly processes = new Map<string, BoxProcess>()
	/** By how much the time of day of a box is off, in ms. */
	private readonly wallClockOffsetsMs = new Map<string, number>()
	private readonly cutOff = new Set<string>()
	private readonly storeCalls = new Map<string, number>()
	private hasStoreFaults = false
	private startCount = 0
	private fateCount = 0
	private lendResponseCount = 0
	private budgets: Budgets

	constructor(
		readonly budget: number,
		private readonly fateSeed: number,
		/** Boxes that draw; the others borrow all that they spend. */
		private readonly drawingBoxes: readonly string[] = BOXES,
		/** Every seventh answer of a lender is lost, and its tokens with it. */
		private readonly losesResponses = true,
		/** Boxes whose answers to other boxes come late, and by how much, in ms. */
		private readonly responseDelaysMs: Readonly<Record<string, number>> = {},
		private readonly boxes: readonly string[] = BOXES,
	) {
		this.store = new MemoryStore({
			now: () => Date.now(),
			sleep,
			fate: (caller) => this.nextFate(caller),
			lateMs: () => 700 + (this.fateCount % 5) * 900,
		})
		this.budgets = { version: 1, tokens: { [ACCOUNT]: this.budget } }
		for (const box of boxes) this.start(box)
	}

	start(box: string): void {
		const entry: BoxProcess = {
			client: undefined as unknown as AllowanceClient,
			isDead: false,
			suspendedMs: 0,
			resumed: undefined,
		}
		const steady = (): number => Date.now() - entry.suspendedMs
		const address = `${box}:1`
		const startedAt = Date.now()
		const store = new EraTrackingStore(this.store.connection(box), {
			onEraChange: ({ previousEra: before }) => {
				if (before > 0 && !entry.isDead) entry.client.onEraChange()
			},
			onMissingEra: () => undefined,
		})
		entry.client = new AllowanceClient({
			store: storeForProcess(store, entry),
			recordKey: 'allowance',
			spendingLimitKey: `mark/${box}`,
			box: brandId<BoxName>(box),
			holder: brandId<Incarnation>(`${box}-${this.startCount++}`),
			address,
			replicaAddresses: () => {
				const own = this.drawingBoxes.indexOf(box)
				const others = [...this.drawingBoxes.slice(own + 1), ...this.drawingBoxes.slice(0, own)]
				return others.filter((other) => other !== box).map((other) => `${other}:1`)
			},
			isFirstStart: this.startCount <= this.boxes.length,
			tokenPeers: this.tokenPeers(box),
			isLender: () => this.drawingBoxes.includes(box),
			lenderAddresses: () =>
				this.drawingBoxes.filter((other) => other !== box).map((other) => `${other}:1`),
			metrics: new Metrics(),
			now: steady,
			wallTime: () => Date.now() + (this.wallClockOffsetsMs.get(box) ?? 0),
			uptimeMs: () => steady() - startedAt,
			random: () => 0.5,
			sleep,
			log: ({ fields }) => {
				if (fields.fault === 'unreadable') this.unreadableRecords++
			},
		})
		entry.client.setBudgets(this.budgets)
		this.processes.set(box, entry)
		if (this.drawingBoxes.includes(box)) void entry.client.claim()
	}

	/** The process of a box is gone; a new one starts a little later. */
	kill(box: string, downMs = 600): void {
		const entry = this.processes.get(box)
		if (!entry || entry.isDead) return
		entry.isDead = true
		setTimeout(() => this.start(box), downMs)
	}

	/** The machine of a box is suspended: its steady clock stands still, and it hears and does nothing. */
	suspend(box: string, ms: number): void {
		const entry = this.processes.get(box)
		if (!entry || entry.isDead || entry.resumed) return
		entry.resumed = sleep(ms).then(() => {
			entry.suspendedMs += ms
			entry.resumed = undefined
		})
	}

	/** The time of day of a box is set. */
	setWallClockOffset(box: string, byMs: number): void {
		this.wallClockOffsetsMs.set(box, byMs)
	}

	async stop(box: string): Promise<void> {
		const entry = this.processes.get(box)
		if (!entry || entry.isDead) return
		await entry.client.returnUnspent()
		this.kill(box)
	}

	setBudgets(version: number, tokens: Readonly<Record<string, number>>): void {
		this.budgets = { version, tokens }
		for (const { client, isDead: dead } of this.processes.values())
			if (!dead) client.setBudgets({ version, tokens })
	}

	setCutOff(box: string, cut: boolean): void {
		if (cut) this.cutOff.add(box)
		else this.cutOff.delete(box)
	}

	setStoreFaults(stormy: boolean): void {
		this.hasStoreFaults = stormy
	}

	/** A request: what it reserved counts as spent until less is charged. */
	async request(box: string, tokens: number, chargedPart: number): Promise<boolean> {
		const entry = this.processes.get(box)
		if (!entry || entry.isDead || entry.resumed) return false
		const result = await entry.client.reserve(ACCOUNT, tokens, 500)
		if (result !== 'reserved' || entry.isDead) return false
		this.spent += tokens
		setTimeout(() => {
			if (entry.isDead) return
			const charged = Math.floor(tokens * chargedPart)
			entry.client.settle(ACCOUNT, tokens, charged)
			this.spent -= tokens - charged
		}, 300)
		return true
	}

	async maintain(): Promise<void> {
		for (const { resumed: awake, client, isDead: dead } of this.processes.values())
			if (!dead && !awake) void client.maintain()
		await vi.advanceTimersByTimeAsync(0)
	}

	/** Calls of a box that reached the store. */
	storeCallsOf(box: string): number {
		return this.storeCalls.get(box) ?? 0
	}

	private nextFate(caller: string): CallFate {
		this.fateCount++
		this.storeCalls.set(caller, (this.storeCalls.get(caller) ?? 0) + 1)
		if (this.cutOff.has(caller)) return 'lost'
		if (!this.hasStoreFaults) return 'served'
		const fates: readonly CallFate[] = ['served', 'answer-lost', 'late', 'refused', 'served']
		return fates[(this.fateCount * 7 + this.fateSeed) % fates.length] ?? 'served'
	}

	private tokenPeers(self: string): TokenPeers {
		const other = (address: string) => {
			const entry = this.processes.get(address.replace(':1', ''))
			return entry && !entry.isDead && !entry.resumed ? entry.client : undefined
		}
		return {
			requestTokens: async (address, account, request) => {
				await sleep(2)
				const answer = (await other(address)?.lend(account, request)) ?? EMPTY_LEND_RESPONSE
				await sleep(2 + (this.responseDelaysMs[address.replace(':1', '')] ?? 0))
				const isLost = this.losesResponses && this.lendResponseCount++ % 7 === 6
				return isLost ? EMPTY_LEND_RESPONSE : answer
			},
			sendDraws: async (address, told) => {
				await sleep(2)
				const isTaken = other(address)?.receiveDraws(told) ?? false
				await sleep(2)
				return isTaken
			},
			isReachable: async (address) => other(address) !== undefined && address !== `${self}:1`,
			transferTokens: async (address, account, tokens, budgetsVersion) =>
				other(address)?.acceptTokens(account, tokens, budgetsVersion) ?? false,
		}
	}
}

/**
 * A store whose callers are gone once the process is: nothing more is sent, nothing comes back. While the machine is
 * suspended, calls and answers wait.
 */
function storeForProcess(store: KeyValueStore, process: BoxProcess): KeyValueStore {
	const guard = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => {
		return async (...args: A): Promise<R> => {
			await process.resumed
			if (process.isDead) return new Promise<R>(() => undefined)
			const result = await call(...args)
			await process.resumed
			return process.isDead ? new Promise<R>(() => undefined) : result
		}
	}
	return {
		get era() {
			return store.era
		},
		list: guard((prefix) => store.list(prefix)),
		watch: guard((prefix, after, waitMs) => store.watch(prefix, after, waitMs)),
		write: guard((key, value, expected, lease) => store.write(key, value, expected, lease)),
		lease: guard((ttlMs) => store.lease(ttlMs)),
		read: guard((key) => store.read(key)),
		readStale: guard((key) => store.readStale(key)),
		ping: guard(() => store.ping()),
		listStale: guard((prefix) => store.listStale(prefix)),
	}
}

/** Lets time pass, with the maintenance of all boxes. */
export async function advance(fleet: BudgetTestFleet, ms: number): Promise<void> {
	let left = ms
	while (left > 0) {
		const step = Math.min(left, 200)
		await vi.advanceTimersByTimeAsync(step)
		await fleet.maintain()
		left -= step
	}
}

/** Asks and waits for the result, in virtual time. */
export async function requestAndWait(
	fleet: BudgetTestFleet,
	box: string,
	tokens: number,
): Promise<boolean> {
	const result = fleet.request(box, tokens, 1)
	await advance(fleet, 1_500)
	return result
}
