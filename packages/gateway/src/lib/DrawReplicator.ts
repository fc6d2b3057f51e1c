import {
	MIN_DRAW_REPLICAS,
	type AccountName,
	type BoxName,
	type StoreRevision,
} from '@stallwing/core'

/** Increased draws of one box, as sent to the boxes that store replicas. */
export interface ReplicatedDraws {
	readonly box: BoxName
	/** Store revision of the record that contains these draws. */
	readonly revision: StoreRevision
	/** Cumulative draws by account, for the accounts whose draws increased. */
	readonly raised: Readonly<Record<AccountName, number>>
}

export interface DrawReplicatorOptions {
	/** Addresses of the boxes that store replicas, in order of preference. */
	readonly replicaAddresses: () => readonly string[]
	/** Sends draws to one box; resolves to false unless the box confirms that it stored them. */
	readonly send: (address: string, draws: ReplicatedDraws) => Promise<boolean>
	/** Time to wait for the first confirmation of a draw, in ms; longer while answers are late. */
	readonly answerTimeoutMs: () => number
	readonly sleep: (ms: number) => Promise<void>
}

/** Number of boxes contacted at once: one more than required, in case one is unavailable. */
const BATCH_SIZE = MIN_DRAW_REPLICAS + 1
/** Time to wait for confirmations before contacting the next boxes, in ms. */
const NEXT_BATCH_DELAY_MS = 40
/** Maximum number of boxes contacted for one draw. */
const MAX_BOXES_CONTACTED = 9

/** Replicates the draws of this box to other boxes before it uses them. */
export class DrawReplicator {
	constructor(private readonly options: DrawReplicatorOptions) {}

	/**
	 * Resolves to true once {@link MIN_DRAW_REPLICAS} boxes have stored the draws, or at least one box if the
	 * others do not answer. Also true if there are no other boxes.
	 */
	async replicate(draws: ReplicatedDraws): Promise<boolean> {
		const { answerTimeoutMs, replicaAddresses, send, sleep } = this.options
		const addresses = replicaAddresses().slice(0, MAX_BOXES_CONTACTED)
		if (addresses.length === 0) return true
		const required = Math.min(MIN_DRAW_REPLICAS, addresses.length)
		const confirmations = new Confirmations()
		const timeout = sleep(answerTimeoutMs())
		for (let start = 0; start < addresses.length; start += BATCH_SIZE) {
			for (const address of addresses.slice(start, start + BATCH_SIZE))
				confirmations.add(send(address, draws))
			await Promise.race([confirmations.waitFor(required), sleep(NEXT_BATCH_DELAY_MS)])
			if (confirmations.count >= required) return true
		}
		await Promise.race([confirmations.waitFor(1), timeout])
		return confirmations.count > 0
	}
}

/** Counts the boxes that have confirmed one draw, whenever their answers come. */
class Confirmations {
	count = 0
	private pending = 0
	private readonly listeners = new Set<() => void>()

	/** Adds a call that resolves to true if its box confirms the draw. */
	add(call: Promise<boolean>): void {
		this.pending++
		void call.then((isStored) => {
			this.pending--
			if (isStored) this.count++
			for (const notify of this.listeners) notify()
		})
	}

	/** Resolves once the required number of boxes have confirmed the draw, or all calls have ended. */
	waitFor(required: number): Promise<void> {
		return new Promise((resolve) => {
			const check = (): void => {
				if (this.count >= required || this.pending === 0) resolve()
			}
			this.listeners.add(check)
			check()
		})
	}
}
