import type { BudgetName } from '../ids.js'
import { assertInvariant } from '../InvariantViolation.js'
import type { Amount } from '../units.js'

/**
 * Cumulative counters of one budget at one box incarnation. They never decrease, so repeated, delayed or duplicated
 * messages are harmless.
 * @public
 */
export interface SliceCounters {
	/** Granted by the zone leader. Written by the zone leader only. */
	readonly granted: Amount
	/** Returned to the zone ledger. Written by this box only. */
	readonly returned: Amount
	/** Billed to finished requests. Written by this box only. */
	readonly billed: Amount
	/** Sent to other boxes of the zone, summed over all of them. Written by this box only. */
	readonly sent: Amount
	/** Received from other boxes of the zone, summed over all of them. Written by this box only. */
	readonly received: Amount
}

/** Counters of a box that has never held tokens of the budget. @public */
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
	/** Highest `billed + reserved` that the replica has acknowledged. */
	watermark: Amount
	sentTo: Map<string, Amount>
	receivedFrom: Map<string, Amount>
}

/** Tokens granted and received, minus those returned and sent. @public */
export function balanceOf(counters: SliceCounters): Amount {
	return counters.granted + counters.received - counters.returned - counters.sent
}

/**
 * The budget slices of one box incarnation. Each change asserts that the slice is not overdrawn.
 * @public
 */
export class SliceLedger {
	private readonly slices = new Map<BudgetName, Slice>()

	/** Budgets of which this box has ever held tokens. */
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

	/** Tokens available for new reservations. */
	available(budget: BudgetName): Amount {
		const slice = this.slices.get(budget)
		return slice ? balanceOf(slice) - slice.billed - slice.reserved : 0
	}

	/** Tokens reserved for requests that are running or about to run. */
	reserved(budget: BudgetName): Amount {
		return this.slices.get(budget)?.reserved ?? 0
	}

	/** Tokens billed or reserved so far, which the watermark must cover. */
	drawn(budget: BudgetName): Amount {
		const slice = this.slices.get(budget)
		return slice ? slice.billed + slice.reserved : 0
	}

	/** Highest drawn amount that the replica has acknowledged. */
	watermark(budget: BudgetName): Amount {
		return this.slices.get(budget)?.watermark ?? 0
	}

	/** Raises the cumulative grant; a lower value is ignored. */
	grant(budget: BudgetName, granted: Amount): void {
		const slice = this.getOrCreate(budget)
		slice.granted = Math.max(slice.granted, granted)
	}

	/** Reserves the most that a request may cost. Returns false if too few tokens are available. */
	reserve(budget: BudgetName, amount: Amount): boolean {
		if (this.available(budget) < amount) return false
		const slice = this.getOrCreate(budget)
		slice.reserved += amount
		this.assertNotOverdrawn(budget, slice)
		return true
	}

	/** Ends a reservation: bills the charge and releases the rest. */
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

	/** Returns up to `amount` available tokens to the zone ledger. The result is the amount returned by this call. */
	returnIdle(budget: BudgetName, amount: Amount): Amount {
		const returned = Math.max(0, Math.min(amount, this.available(budget)))
		if (returned === 0) return 0
		const slice = this.getOrCreate(budget)
		slice.returned += returned
		this.assertNotOverdrawn(budget, slice)
		return returned
	}

	/** Sends up to `amount` available tokens to another box incarnation. Returns the cumulative amount sent to it. */
	sendTo(budget: BudgetName, peer: string, amount: Amount): Amount {
		const sent = Math.max(0, Math.min(amount, this.available(budget)))
		const slice = this.getOrCreate(budget)
		const total = (slice.sentTo.get(peer) ?? 0) + sent
		slice.sentTo.set(peer, total)
		slice.sent += sent
		this.assertNotOverdrawn(budget, slice)
		return total
	}

	/** Applies the cumulative transfer of another incarnation. Returns the amount not received before. */
	receiveFrom(budget: BudgetName, peer: string, cumulative: Amount): Amount {
		const slice = this.getOrCreate(budget)
		const before = slice.receivedFrom.get(peer) ?? 0
		const added = Math.max(0, cumulative - before)
		slice.receivedFrom.set(peer, before + added)
		slice.received += added
		return added
	}

	/** Raises the watermark to an amount that the replica has acknowledged. */
	acknowledgeWatermark(budget: BudgetName, upTo: Amount): void {
		const slice = this.getOrCreate(budget)
		slice.watermark = Math.max(slice.watermark, upTo)
	}

	/** Resets all watermarks, because a new replica has acknowledged none yet. */
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
