import {
	brandId,
	type AccountName,
	type BoxName,
	type Budgets,
	type Incarnation,
} from '@stallwing/core'
import { MemoryStore, type CallFate } from '@stallwing/standins'
import { EraStore, type KeyValueStore } from '@stallwing/store'
import { Metrics } from '@stallwing/telemetry'
import { vi } from 'vitest'
import { AllowanceClient } from './AllowanceClient.js'
import { NOTHING_LENT, type Lenders } from './TokenLending.js'
import { sleep } from './sleep.js'

export const ACCOUNT = brandId<AccountName>('acme')
export const BOXES = ['box-1', 'box-2', 'box-3'] as const
/** Time in which all boxes have claimed the right to draw: a claim waits for the age of its process. */
export const START_MS = 1_000

/** One process of a box. */
interface Process {
	client: AllowanceClient
	dead: boolean
	/** For how long its machine was suspended while it ran, in ms. */
	suspendedMs: number
	/** Resolves when its machine goes on; undefined while it runs. */
	awake: Promise<void> | undefined
}

/** Some boxes that share one budget, in virtual time. */
export class MoneyFleet {
	spent = 0
	/** Records of money that a box could not read. */
	unreadable = 0
	readonly store: MemoryStore
	private readonly clients = new Map<string, Process>()
	/** By how much the time of day of a box is off, in ms. */
	private readonly timeOff = new Map<string, number>()
	private readonly cut = new Set<string>()
	private readonly calls = new Map<string, number>()
	private stormy = false
	private starts = 0
	private fates = 0
	private answers = 0
	private budgets: Budgets

	constructor(
		readonly budget: number,
		private readonly fateSeed: number,
		/** Boxes that draw; the others borrow all that they spend. */
		private readonly drawing: readonly string[] = BOXES,
		/** Every seventh answer of a lender is lost, and its tokens with it. */
		private readonly losesAnswers = true,
		/** Boxes whose answers to other boxes come late, and by how much, in ms. */
		private readonly lateness: Readonly<Record<string, number>> = {},
		private readonly boxes: readonly string[] = BOXES,
	) {
		this.store = new MemoryStore({
			now: () => Date.now(),
			sleep,
			fate: (caller) => this.fateOf(caller),
			lateMs: () => 700 + (this.fates % 5) * 900,
		})
		this.budgets = { version: 1, tokens: { [ACCOUNT]: this.budget } }
		for (const box of boxes) this.start(box)
	}

	start(box: string): void {
		const entry: Process = {
			client: undefined as unknown as AllowanceClient,
			dead: false,
			suspendedMs: 0,
			awake: undefined,
		}
		const steady = (): number => Date.now() - entry.suspendedMs
		const address = `${box}:1`
		const startedAt = Date.now()
		const store = new EraStore(this.store.connection(box), {
			onEra: ({ before }) => {
				if (before > 0 && !entry.dead) entry.client.noteEra()
			},
			onUnnamed: () => undefined,
		})
		entry.client = new AllowanceClient({
			store: mortal(store, entry),
			key: 'allowance',
			markKey: `mark/${box}`,
			box: brandId<BoxName>(box),
			holder: brandId<Incarnation>(`${box}-${this.starts++}`),
			address,
			witnessAddresses: () => {
				const own = this.drawing.indexOf(box)
				const others = [...this.drawing.slice(own + 1), ...this.drawing.slice(0, own)]
				return others.filter((other) => other !== box).map((other) => `${other}:1`)
			},
			isFirstStart: this.starts <= this.boxes.length,
			lenders: this.lenders(box),
			isLender: () => this.drawing.includes(box),
			lenderAddresses: () =>
				this.drawing.filter((other) => other !== box).map((other) => `${other}:1`),
			metrics: new Metrics(),
			now: steady,
			wallTime: () => Date.now() + (this.timeOff.get(box) ?? 0),
			aliveMs: () => steady() - startedAt,
			random: () => 0.5,
			sleep,
			log: ({ fields }) => {
				if (fields.fault === 'unreadable') this.unreadable++
			},
		})
		entry.client.setBudgets(this.budgets)
		this.clients.set(box, entry)
		if (this.drawing.includes(box)) void entry.client.claim()
	}

	/** The process of a box is gone; a new one starts a little later. */
	kill(box: string, downMs = 600): void {
		const entry = this.clients.get(box)
		if (!entry || entry.dead) return
		entry.dead = true
		setTimeout(() => this.start(box), downMs)
	}

	/** The machine of a box is suspended: its steady clock stands still, and it hears and does nothing. */
	suspend(box: string, ms: number): void {
		const entry = this.clients.get(box)
		if (!entry || entry.dead || entry.awake) return
		entry.awake = sleep(ms).then(() => {
			entry.suspendedMs += ms
			entry.awake = undefined
		})
	}

	/** The time of day of a box is set. */
	setTimeOfDay(box: string, byMs: number): void {
		this.timeOff.set(box, byMs)
	}

	async stop(box: string): Promise<void> {
		const entry = this.clients.get(box)
		if (!entry || entry.dead) return
		await entry.client.giveBack()
		this.kill(box)
	}

	setBudgets(version: number, tokens: Readonly<Record<string, number>>): void {
		this.budgets = { version, tokens }
		for (const { client, dead } of this.clients.values())
			if (!dead) client.setBudgets({ version, tokens })
	}

	setCut(box: string, cut: boolean): void {
		if (cut) this.cut.add(box)
		else this.cut.delete(box)
	}

	setStormy(stormy: boolean): void {
		this.stormy = stormy
	}

	/** A request: what it reserved counts as spent until less is charged. */
	async ask(box: string, tokens: number, chargedPart: number): Promise<boolean> {
		const entry = this.clients.get(box)
		if (!entry || entry.dead || entry.awake) return false
		const result = await entry.client.reserve(ACCOUNT, tokens, 500)
		if (result !== 'reserved' || entry.dead) return false
		this.spent += tokens
		setTimeout(() => {
			if (entry.dead) return
			const charged = Math.floor(tokens * chargedPart)
			entry.client.settle(ACCOUNT, tokens, charged)
			this.spent -= tokens - charged
		}, 300)
		return true
	}

	async maintain(): Promise<void> {
		for (const { awake, client, dead } of this.clients.values())
			if (!dead && !awake) void client.maintain()
		await vi.advanceTimersByTimeAsync(0)
	}

	/** Calls of a box that reached the store. */
	callsOf(box: string): number {
		return this.calls.get(box) ?? 0
	}

	private fateOf(caller: string): CallFate {
		this.fates++
		this.calls.set(caller, (this.calls.get(caller) ?? 0) + 1)
		if (this.cut.has(caller)) return 'lost'
		if (!this.stormy) return 'served'
		const fates: readonly CallFate[] = ['served', 'answer-lost', 'late', 'refused', 'served']
		return fates[(this.fates * 7 + this.fateSeed) % fates.length] ?? 'served'
	}

	private lenders(self: string): Lenders {
		const other = (address: string) => {
			const entry = this.clients.get(address.replace(':1', ''))
			return entry && !entry.dead && !entry.awake ? entry.client : undefined
		}
		return {
			ask: async (address, account, request) => {
				await sleep(2)
				const answer = (await other(address)?.lend(account, request)) ?? NOTHING_LENT
				await sleep(2 + (this.lateness[address.replace(':1', '')] ?? 0))
				const isLost = this.losesAnswers && this.answers++ % 7 === 6
				return isLost ? NOTHING_LENT : answer
			},
			tellDraws: async (address, told) => {
				await sleep(2)
				const isTaken = other(address)?.remember(told) ?? false
				await sleep(2)
				return isTaken
			},
			isOpen: async (address) => other(address) !== undefined && address !== `${self}:1`,
			give: async (address, account, tokens, budgetsVersion) =>
				other(address)?.accept(account, tokens, budgetsVersion) ?? false,
		}
	}
}

/**
 * A store whose callers are gone once the process is: nothing more is sent, nothing comes back. While the machine is
 * suspended, calls and answers wait.
 */
function mortal(store: KeyValueStore, process: Process): KeyValueStore {
	const guard = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => {
		return async (...args: A): Promise<R> => {
			await process.awake
			if (process.dead) return new Promise<R>(() => undefined)
			const result = await call(...args)
			await process.awake
			return process.dead ? new Promise<R>(() => undefined) : result
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
export async function pass(fleet: MoneyFleet, ms: number): Promise<void> {
	let left = ms
	while (left > 0) {
		const step = Math.min(left, 200)
		await vi.advanceTimersByTimeAsync(step)
		await fleet.maintain()
		left -= step
	}
}

/** Asks and waits for the result, in virtual time. */
export async function asks(fleet: MoneyFleet, box: string, tokens: number): Promise<boolean> {
	const result = fleet.ask(box, tokens, 1)
	await pass(fleet, 1_500)
	return result
}
