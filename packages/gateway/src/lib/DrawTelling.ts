import { DRAW_WITNESSES, type AccountName, type BoxName, type StoreRevision } from '@stallwing/core'

/** Draws that a box raised, as it tells them to others. */
export interface ToldDraws {
	readonly box: BoxName
	/** Revision of the record that holds them. */
	readonly revision: StoreRevision
	/** Cumulative draws by account; those that were not raised are left out. */
	readonly raised: Readonly<Record<AccountName, number>>
}

/** What a {@link DrawTelling} works with. */
export interface DrawTellingOptions {
	/** Addresses of other boxes, those to be told first in front. */
	readonly others: () => readonly string[]
	/** Tells one box; false where it did not say that it took the draws. */
	readonly tell: (address: string, told: ToldDraws) => Promise<boolean>
	readonly sleep: (ms: number) => Promise<void>
}

/** Boxes that are told at once: one more than need to know, where one is away. */
const TOLD_AT_ONCE = DRAW_WITNESSES + 1
/** Time after which further boxes are told where too few have answered, in ms. */
const PATIENCE_MS = 40
/** Boxes that are told of one draw at most. */
const MOST_TOLD = 9

/** Tells other boxes of draws, before they are used. */
export class DrawTelling {
	constructor(private readonly options: DrawTellingOptions) {}

	/**
	 * True once {@link DRAW_WITNESSES} others know of the draws, or as many as answer. False where none does, although there
	 * are others.
	 */
	async tell(told: ToldDraws): Promise<boolean> {
		const others = this.options.others().slice(0, MOST_TOLD)
		if (others.length === 0) return true
		let known = 0
		for (let first = 0; first < others.length; first += TOLD_AT_ONCE) {
			const some = others.slice(first, first + TOLD_AT_ONCE)
			known += await this.tellSome(some, told, Math.min(DRAW_WITNESSES, others.length) - known)
			if (known >= DRAW_WITNESSES) return true
		}
		return known > 0
	}

	/** How many of some boxes took the draws, as soon as enough did or the patience is over. */
	private tellSome(addresses: readonly string[], told: ToldDraws, enough: number): Promise<number> {
		return new Promise((resolve) => {
			let known = 0
			let open = addresses.length
			void this.options.sleep(PATIENCE_MS).then(() => resolve(known))
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
