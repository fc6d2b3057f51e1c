import {
	brandId,
	type AccountName,
	type BoxName,
	type Budgets,
	type Incarnation,
} from '@stallwing/core'
import { MemoryStore, type CallOutcome } from '@stallwing/standins'
import { EraTrackingStore, type KeyValueStore } from '@stallwing/store'
import { Metrics } from '@stallwing/telemetry'
import { vi } from 'vitest'
import { AllowanceClient } from './AllowanceClient.js'
import type { ReleaseResult } from './allowance/releaseWithheld.js'
import { EMPTY_LEND_RESPONSE, type TokenPeers } from './TokenLending.js'
import { sleep } from './sleep.js'

export const ACCOUNT = brandId<AccountName>('acme')
export const BOXES = ['box-1', 'box-2', 'box-3'] as const
/** Time within which all boxes claim the right to draw, in ms. A claim waits for a minimum uptime of its process. */
export const CLAIM_ALL_MS = 1_000

interface BoxProcess {
	client: AllowanceClient
	isDead: boolean
	/** Total time for which its box was suspended, in ms. */
	suspendedMs: number
	/** Resolves when its box resumes; undefined while the box runs. */
	resumed: Promise<void> | undefined
}

/** Boxes that share one budget, in virtual time. */
export class BudgetTestFleet {
	spent = 0
	/** Number of allowance documents that a box could not parse. */
	unreadableRecords = 0
	/** Restarted processes are told that the fleet starts for the first time, as by settings that never change. */
	alwaysClaimsFirstStart = false
	readonly store: MemoryStore
	private readonly processes = new Map<string, BoxProcess>()
	/** Offset of the wall clock of each box, in ms. */
	private readonly wallClockOffsetsMs = new Map<string, number>()
	private readonly cutOff = new Set<string>()
	private readonly storeCalls = new Map<string, number>()
	private hasStoreFaults = false
	private startCount = 0
	private storeCallCount = 0
	private lendResponseCount = 0
	private budgets: Budgets

	constructor(
		readonly budget: number,
		private readonly faultSeed: number,
		/** Boxes that draw from the store; all others borrow. */
		private readonly drawingBoxes: readonly string[] = BOXES,
		/** Whether every seventh lend response is lost together with its tokens. */
		private readonly losesResponses = true,
		/** Delay of the lend responses of some boxes, in ms. */
		private readonly responseDelaysMs: Readonly<Record<string, number>> = {},
		private readonly boxes: readonly string[] = BOXES,
	) {
		this.store = new MemoryStore({
			now: () => Date.now(),
			sleep,
			outcomeOf: (caller) => this.nextOutcome(caller),
			lateWriteDelayMs: () => 700 + (this.storeCallCount % 5) * 900,
		})
		this.budgets = { version: 1, tokens: { [ACCOUNT]: this.budget } }
		for (const box of boxes) this.start(box)
	}

	start(box: string): void {
		const boxProcess: BoxProcess = {
			client: undefined as unknown as AllowanceClient,
			isDead: false,
			suspendedMs: 0,
			resumed: undefined,
		}
		const monotonicNow = (): number => Date.now() - boxProcess.suspendedMs
		const address = `${box}:1`
		const startedAt = Date.now()
		const store = new EraTrackingStore(this.store.connection(box), {
			onEraChange: ({ previousEra }) => {
				if (previousEra > 0 && !boxProcess.isDead) boxProcess.client.onEraChange()
			},
			onMissingEra: () => undefined,
		})
		boxProcess.client = new AllowanceClient({
			store: storeForProcess(store, boxProcess),
			recordKey: 'allowance',
			spendingLimitKey: `mark/${box}`,
			box: brandId<BoxName>(box),
			holder: brandId<Incarnation>(`${box}-${this.startCount++}`),
			address,
			replicaAddresses: () => {
				const ownIndex = this.drawingBoxes.indexOf(box)
				const others = [
					...this.drawingBoxes.slice(ownIndex + 1),
					...this.drawingBoxes.slice(0, ownIndex),
				]
				return others.filter((other) => other !== box).map((other) => `${other}:1`)
			},
			isFirstStart: this.alwaysClaimsFirstStart || this.startCount <= this.boxes.length,
			tokenPeers: this.tokenPeers(box),
			isLender: () => this.drawingBoxes.includes(box),
			lenderAddresses: () =>
				this.drawingBoxes.filter((other) => other !== box).map((other) => `${other}:1`),
			metrics: new Metrics(),
			now: monotonicNow,
			wallTime: () => Date.now() + (this.wallClockOffsetsMs.get(box) ?? 0),
			uptimeMs: () => monotonicNow() - startedAt,
			random: () => 0.5,
			sleep,
			log: ({ fields }) => {
				if (fields.fault === 'unreadable') this.unreadableRecords++
			},
		})
		boxProcess.client.setBudgets(this.budgets)
		this.processes.set(box, boxProcess)
		if (this.drawingBoxes.includes(box)) void boxProcess.client.claim()
	}

	/** Kills the process of a box and starts a new one after `downMs`. */
	kill(box: string, downMs = 600): void {
		const boxProcess = this.processes.get(box)
		if (!boxProcess || boxProcess.isDead) return
		boxProcess.isDead = true
		setTimeout(() => this.start(box), downMs)
	}

	/** Spends all tokens that a box holds, then kills it, so that none of its draws are left unspent. */
	spendAllAndKill(box: string, downMs: number): void {
		const boxProcess = this.processes.get(box)
		if (!boxProcess || boxProcess.isDead) return
		for (const { free } of boxProcess.client.views()) this.spent += Math.max(0, free)
		this.kill(box, downMs)
	}

	/** Suspends a box: its monotonic clock stops, and it neither receives nor sends anything. */
	suspend(box: string, ms: number): void {
		const boxProcess = this.processes.get(box)
		if (!boxProcess || boxProcess.isDead || boxProcess.resumed) return
		boxProcess.resumed = sleep(ms).then(() => {
			boxProcess.suspendedMs += ms
			boxProcess.resumed = undefined
		})
	}

	setWallClockOffset(box: string, offsetMs: number): void {
		this.wallClockOffsetsMs.set(box, offsetMs)
	}

	async stop(box: string): Promise<void> {
		const boxProcess = this.processes.get(box)
		if (!boxProcess || boxProcess.isDead) return
		await boxProcess.client.returnUnspent()
		this.kill(box)
	}

	setBudgets(version: number, tokens: Readonly<Record<string, number>>): void {
		this.budgets = { version, tokens }
		for (const { client, isDead } of this.processes.values())
			if (!isDead) client.setBudgets({ version, tokens })
	}

	setCutOff(box: string, isCutOff: boolean): void {
		if (isCutOff) this.cutOff.add(box)
		else this.cutOff.delete(box)
	}

	setStoreFaults(hasStoreFaults: boolean): void {
		this.hasStoreFaults = hasStoreFaults
	}

	/** Sends a request to a box. The reserved tokens count as spent until the request settles for fewer. */
	async request(box: string, tokens: number, chargedFraction: number): Promise<boolean> {
		const boxProcess = this.processes.get(box)
		if (!boxProcess || boxProcess.isDead || boxProcess.resumed) return false
		const result = await boxProcess.client.reserve(ACCOUNT, tokens, 500)
		if (result !== 'reserved' || boxProcess.isDead) return false
		this.spent += tokens
		setTimeout(() => {
			if (boxProcess.isDead) return
			const charged = Math.floor(tokens * chargedFraction)
			boxProcess.client.settle(ACCOUNT, tokens, charged)
			this.spent -= tokens - charged
		}, 300)
		return true
	}

	async maintain(): Promise<void> {
		for (const { resumed, client, isDead } of this.processes.values())
			if (!isDead && !resumed) void client.maintain()
		await vi.advanceTimersByTimeAsync(0)
	}

	/** Releases the withheld tokens of the account through one box. */
	async releaseWithheld(box: string): Promise<ReleaseResult | undefined> {
		return this.processes.get(box)?.client.releaseWithheld(ACCOUNT)
	}

	/** Number of store calls that a box has made. */
	storeCallsOf(box: string): number {
		return this.storeCalls.get(box) ?? 0
	}

	private nextOutcome(caller: string): CallOutcome {
		this.storeCallCount++
		this.storeCalls.set(caller, (this.storeCalls.get(caller) ?? 0) + 1)
		if (this.cutOff.has(caller)) return 'lost'
		if (!this.hasStoreFaults) return 'served'
		const outcomes: readonly CallOutcome[] = ['served', 'answer-lost', 'late', 'refused', 'served']
		return outcomes[(this.storeCallCount * 7 + this.faultSeed) % outcomes.length] ?? 'served'
	}

	private tokenPeers(box: string): TokenPeers {
		const clientAt = (address: string) => {
			const boxProcess = this.processes.get(address.replace(':1', ''))
			return boxProcess && !boxProcess.isDead && !boxProcess.resumed ? boxProcess.client : undefined
		}
		return {
			requestTokens: async (address, account, request) => {
				await sleep(2)
				const response = (await clientAt(address)?.lend(account, request)) ?? EMPTY_LEND_RESPONSE
				await sleep(2 + (this.responseDelaysMs[address.replace(':1', '')] ?? 0))
				const isLost = this.losesResponses && this.lendResponseCount++ % 7 === 6
				return isLost ? EMPTY_LEND_RESPONSE : response
			},
			answerTimeoutMs: 160,
			sendDraws: async (address, draws) => {
				await sleep(2)
				const isStored = clientAt(address)?.receiveDraws(draws) ?? false
				await sleep(2)
				return isStored
			},
			isReachable: async (address) => clientAt(address) !== undefined && address !== `${box}:1`,
			transferTokens: async (address, account, tokens, budgetsVersion) =>
				clientAt(address)?.acceptTokens(account, tokens, budgetsVersion) ?? false,
		}
	}
}

/** Wraps a store so that calls and responses wait while the box is suspended, and are dropped once its process is dead. */
function storeForProcess(store: KeyValueStore, boxProcess: BoxProcess): KeyValueStore {
	const guard = <A extends unknown[], R>(call: (...args: A) => Promise<R>) => {
		return async (...args: A): Promise<R> => {
			await boxProcess.resumed
			if (boxProcess.isDead) return new Promise<R>(() => undefined)
			const result = await call(...args)
			await boxProcess.resumed
			return boxProcess.isDead ? new Promise<R>(() => undefined) : result
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

/** Advances the virtual time and maintains all boxes several times per second. */
export async function advance(fleet: BudgetTestFleet, ms: number): Promise<void> {
	let left = ms
	while (left > 0) {
		const step = Math.min(left, 200)
		await vi.advanceTimersByTimeAsync(step)
		await fleet.maintain()
		left -= step
	}
}

/** Sends a request and advances the virtual time until it has a result. */
export async function requestAndWait(
	fleet: BudgetTestFleet,
	box: string,
	tokens: number,
): Promise<boolean> {
	const result = fleet.request(box, tokens, 1)
	await advance(fleet, 1_500)
	return result
}
