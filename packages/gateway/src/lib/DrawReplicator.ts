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
	readonly sleep: (ms: number) => Promise<void>
}

/** Number of boxes contacted at once: one more than required, in case one is unavailable. */
const BATCH_SIZE = MIN_DRAW_REPLICAS + 1
/** Time to wait for confirmations before contacting the next boxes, in ms. */
const BATCH_TIMEOUT_MS = 40
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
		const addresses = this.options.replicaAddresses().slice(0, MAX_BOXES_CONTACTED)
		if (addresses.length === 0) return true
		let confirmed = 0
		for (let start = 0; start < addresses.length; start += BATCH_SIZE) {
			const batch = addresses.slice(start, start + BATCH_SIZE)
			confirmed += await this.sendBatch(
				batch,
				draws,
				Math.min(MIN_DRAW_REPLICAS, addresses.length) - confirmed,
			)
			if (confirmed >= MIN_DRAW_REPLICAS) return true
		}
		return confirmed > 0
	}

	/**
	 * Sends draws to several boxes. Resolves to the number of confirmations once `required` are in, all boxes
	 * have answered, or {@link BATCH_TIMEOUT_MS} has passed.
	 */
	private sendBatch(
		addresses: readonly string[],
		draws: ReplicatedDraws,
		required: number,
	): Promise<number> {
		return new Promise((resolve) => {
			let confirmed = 0
			let pending = addresses.length
			void this.options.sleep(BATCH_TIMEOUT_MS).then(() => resolve(confirmed))
			for (const address of addresses) {
				void this.options.send(address, draws).then((isStored) => {
					pending--
					if (isStored) confirmed++
					if (confirmed >= required || pending === 0) resolve(confirmed)
				})
			}
		})
	}
}
