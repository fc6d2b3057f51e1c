import type { BudgetName } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'

/**
 * Cumulative counters of one budget at one box incarnation. None of them ever falls, so that each
 * can be sent again, arrive late or arrive twice without harm.
 * @public
 */
export interface SliceCounters {
	/** Granted by the keeper of the zone. Written by the keeper only. */
	readonly granted: Amount
	/** Given back to the zone ledger. Written by this box only. */
	readonly returned: Amount
	/** Billed to finished requests. Written by this box only. */
	readonly billed: Amount
	/** Sent to other boxes of the zone, over all of them. Written by this box only. */
	readonly sent: Amount
	/** Received from other boxes of the zone, over all of them. Written by this box only. */
	readonly received: Amount
}

/** Counters of a box that has never held money of the budget. @public */
export const EMPTY_COUNTERS: SliceCounters = {
	granted: 0,
	returned: 0,
	billed: 0,
	sent: 0,
	received: 0,
}

interface Slice extends SliceCounters {
	reserved: Amount
	granted: Amount
	returned: Amount
	billed: Amount
	sent: Amount
	received: Amount
	/** Highest `billed + reserved` that the witness has acknowledged. */
	watermark: Amount
	sentTo: Map<string, Amount>
	receivedFrom: Map<string, Amount>
}

/** What a counter set still holds: the money that was given in and not given away. @public */
export function balanceOf(counters: SliceCounters): Amount {
	return counters.granted + counters.received - counters.returned - counters.sent
}

/**
 * The money of one box incarnation. Checks at each write that no slice is overdrawn.
 * @public
 */
export class SliceLedger {
	private readonly slices = new Map<BudgetName, Slice>()

	/** Budgets of which this box has ever held money. */
	budgets(): BudgetName[] {
		return [...this.slices.keys()]
	}

	/** A copy of the cumulative counters of a budget. */
	counters(budget: BudgetName): SliceCounters {
		const slice = this.slices.get(budget)
		if (!slice) return EMPTY_COUNTERS
		const { granted, returned, billed, sent, received } = slice
		return { granted, returned, billed, sent, received }
	}

	/** Money that a new reservation may take. */
	available(budget: BudgetName): Amount {
		const slice = this.slices.get(budget)
		return slice ? balanceOf(slice) - slice.billed - slice.reserved : 0
	}

	/** Money reserved for requests that are running or about to run. */
	reserved(budget: BudgetName): Amount {
		return this.slices.get(budget)?.reserved ?? 0
	}

	/** Money billed or reserved so far: what a watermark must cover. */
	drawn(budget: BudgetName): Amount {
		const slice = this.slices.get(budget)
		return slice ? slice.billed + slice.reserved : 0
	}

	/** Highest drawn amount that the witness knows of. */
	watermark(budget: BudgetName): Amount {
		return this.slices.get(budget)?.watermark ?? 0
	}

	/** Takes the keeper's cumulative grant; an older one changes nothing. */
	grant(budget: BudgetName, granted: Amount): void {
		const slice = this.getOrCreate(budget)
		slice.granted = Math.max(slice.granted, granted)
	}

	/** Reserves the worst case of a request. False where the slice is too small. */
	reserve(budget: BudgetName, amount: Amount): boolean {
		if (this.available(budget) < amount) return false
		const slice = this.getOrCreate(budget)
		slice.reserved += amount
		this.assertNotOverdrawn(budget, slice)
		return true
	}

	/** Ends a reservation: bills the true charge and frees the rest at once. */
	settle(budget: BudgetName, reserved: Amount, charge: Amount): void {
		const slice = this.getOrCreate(budget)
		assertInvariant(charge <= reserved && reserved <= slice.reserved, 'slice-not-overdrawn', {
			budget,
			charge,
			reserved,
		})
		slice.reserved -= reserved
		slice.billed += charge
		this.assertNotOverdrawn(budget, slice)
	}

	/** Gives idle money back to the zone ledger. Returns what was given up. */
	returnIdle(budget: BudgetName, amount: Amount): Amount {
		const given = Math.max(0, Math.min(amount, this.available(budget)))
		if (given === 0) return 0
		const slice = this.getOrCreate(budget)
		slice.returned += given
		this.assertNotOverdrawn(budget, slice)
		return given
	}

	/** Gives idle money to another box incarnation. Returns the cumulative amount sent to it. */
	sendTo(budget: BudgetName, peer: string, amount: Amount): Amount {
		const given = Math.max(0, Math.min(amount, this.available(budget)))
		const slice = this.getOrCreate(budget)
		const total = (slice.sentTo.get(peer) ?? 0) + given
		slice.sentTo.set(peer, total)
		slice.sent += given
		this.assertNotOverdrawn(budget, slice)
		return total
	}

	/** Takes another incarnation's cumulative transfer. Returns what was new in it. */
	receiveFrom(budget: BudgetName, peer: string, cumulative: Amount): Amount {
		const slice = this.getOrCreate(budget)
		const before = slice.receivedFrom.get(peer) ?? 0
		const fresh = Math.max(0, cumulative - before)
		slice.receivedFrom.set(peer, before + fresh)
		slice.received += fresh
		return fresh
	}

	/** Notes the watermark that the witness has acknowledged. */
	acknowledgeWatermark(budget: BudgetName, upTo: Amount): void {
		const slice = this.getOrCreate(budget)
		slice.watermark = Math.max(slice.watermark, upTo)
	}

	/** Forgets all acknowledged watermarks: a new witness knows none yet. */
	resetWatermarks(): void {
		for (const slice of this.slices.values()) slice.watermark = 0
	}

	private getOrCreate(budget: BudgetName): Slice {
		let slice = this.slices.get(budget)
		if (!slice) {
			slice = {
				...EMPTY_COUNTERS,
				reserved: 0,
				watermark: 0,
				sentTo: new Map(),
				receivedFrom: new Map(),
			}
			this.slices.set(budget, slice)
		}
		return slice
	}

	private assertNotOverdrawn(budget: BudgetName, slice: Slice): void {
		const held = balanceOf(slice)
		const drawn = slice.billed + slice.reserved
		assertInvariant(drawn <= held && slice.reserved >= 0, 'slice-not-overdrawn', {
			budget,
			held,
			drawn,
		})
	}
}
