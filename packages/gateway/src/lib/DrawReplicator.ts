import {
	MIN_DRAW_REPLICAS,
	type AccountName,
	type BoxName,
	type StoreRevision,
} from '@stallwing/core'

/** Draws that a box raised, as it tells them to others. */
export interface ReplicatedDraws {
	readonly box: BoxName
	/** Revision of the record that holds them. */
	readonly revision: StoreRevision
	/** Cumulative draws by account; those that were not raised are left out. */
	readonly raised: Readonly<Record<AccountName, number>>
}

/** What a {@link DrawReplicator} works with. */
export interface DrawReplicatorOptions {
	/** Addresses of other boxes, those to be told first in front. */
	readonly others: () => readonly string[]
	/** Tells one box; false where it did not say that it took the draws. */
	readonly tell: (address: string, told: ReplicatedDraws) => Promise<boolean>
	readonly sleep: (ms: number) => Promise<void>
}

/** Boxes that are told at once: one more than need to know, where one is away. */
const BATCH_SIZE = MIN_DRAW_REPLICAS + 1
/** Time after which further boxes are told where too few have answered, in ms. */
const BATCH_TIMEOUT_MS = 40
/** Boxes that are told of one draw at most. */
const MAX_BOXES_CONTACTED = 9

/** Tells other boxes of draws, before they are used. */
export class DrawReplicator {
	constructor(private readonly options: DrawReplicatorOptions) {}

	/**
	 * True once {@link MIN_DRAW_REPLICAS} others know of the draws, or as many as answer. False where none does, although there
	 * are others.
	 */
	async replicate(told: ReplicatedDraws): Promise<boolean> {
		const others = this.options.others().slice(0, MAX_BOXES_CONTACTED)
		if (others.length === 0) return true
		let known = 0
		for (let first = 0; first < others.length; first += BATCH_SIZE) {
			const some = others.slice(first, first + BATCH_SIZE)
			known += await this.sendBatch(some, told, Math.min(MIN_DRAW_REPLICAS, others.length) - known)
			if (known >= MIN_DRAW_REPLICAS) return true
		}
		return known > 0
	}

	/** How many of some boxes took the draws, as soon as enough did or the patience is over. */
	private sendBatch(
		addresses: readonly string[],
		told: ReplicatedDraws,
		enough: number,
	): Promise<number> {
		return new Promise((resolve) => {
			let known = 0
			let open = addresses.length
			void this.options.sleep(BATCH_TIMEOUT_MS).then(() => resolve(known))
			for (const address of addresses) {
				void this.options.tell(address, told).then((isTaken) => {
					open--
					if (isTaken) known++
					if (known >= enough || open === 0) resolve(known)
				})
			}
		})
	}
}
