import type { AccountName } from '../ids.js'
import type { Millis } from '../units.js'

/**
 * Length of the window, in ms: longer than a copy of the store is old when the store comes back from it. Copies of
 * some 10 s were seen.
 */
export const DRAW_WINDOW_MS: Millis = 12_000
/** Part of a budget by which all boxes together may raise their draws within a window. */
const FLEET_WINDOW_PART = 0.64
/** Boxes that are assumed at least. */
const LEAST_BOXES = 4
/** Tokens that a window bears at least: a few requests, however small the budget is. */
const LEAST_WINDOW_TOKENS = 20_000

/** Part of a budget by which one of so many boxes may raise its draw within a window. */
export function windowPartOf(boxes: number): number {
	return FLEET_WINDOW_PART / Math.max(LEAST_BOXES, boxes)
}

/** Tokens by which a box may raise its draw of a budget within a window. */
export function windowTokens(part: number, budget: number): number {
	return Math.min(budget, Math.max(Math.ceil(part * budget), LEAST_WINDOW_TOKENS))
}

/** A draw that was raised. */
interface Raise {
	readonly account: AccountName
	readonly tokens: number
	readonly at: Millis
}

/**
 * By how much this box raised its draws lately. It is bounded, so that a record that went back with the store still
 * tells how much its box may have drawn at most: no more than a window beyond what the record says.
 * @public
 */
export class DrawWindow {
	private raises: Raise[] = []

	/** Notes that a draw was raised by so many tokens. */
	note(account: AccountName, tokens: number, now: Millis): void {
		if (tokens > 0) this.raises.push({ account, tokens, at: now })
	}

	/** Tokens by which the draw of each account was raised within the window. */
	raised(now: Millis): Readonly<Record<AccountName, number>> {
		this.raises = this.raises.filter(({ at }) => now - at < DRAW_WINDOW_MS)
		const sums: Record<AccountName, number> = {}
		for (const { account, tokens } of this.raises) sums[account] = (sums[account] ?? 0) + tokens
		return sums
	}
}
