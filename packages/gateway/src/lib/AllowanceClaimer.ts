import {
	NO_REVISION,
	describeRevision,
	isDrawKnown,
	largestOf,
	mayLackDraws,
	planClaim,
	spentAtMost,
	type AccountName,
	type SpendingMark,
} from '@stallwing/core'
import type { StoreFault } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { AllowanceDrawerOptions } from './AllowanceDrawer.js'
import type { AllowanceRecord } from './AllowanceRecord.js'
import type { AllowanceState } from './AllowanceState.js'
import type { SpendingPromise } from './SpendingPromise.js'

/** What an {@link AllowanceClaimer} works with. */
export interface AllowanceClaimerOptions extends AllowanceDrawerOptions {
	readonly promise: SpendingPromise
}

/** What the earlier incarnation had promised when this one looked. */
interface FoundPromise {
	readonly mark: SpendingMark | undefined
	/** Time of day when this incarnation started, in ms. */
	readonly startedAt: number
}

const CLAIM_CONFLICT_PAUSE_MS = 40
/**
 * Time that a new process waits for others to write what the one before it drew, in ms: after it, all that nobody is
 * known to have drawn counts as spent.
 */
const WITNESS_WAIT_MS = 5_000

/** Claims the right to draw for this box: from then on an earlier process of it has lost that right. */
export class AllowanceClaimer {
	private readonly promise: SpendingPromise
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private found: FoundPromise | undefined
	private uncertainSince: number | undefined
	private claimedEra = 0

	constructor(private readonly options: AllowanceClaimerOptions) {
		this.promise = options.promise
		this.record = options.record
		this.state = options.state
	}

	/** Era of the store in which this process claimed. */
	get claimedIn(): number {
		return this.claimedEra
	}

	/** True once others had the time to write what they remember of the earlier process. */
	private hasWaitedForOthers(): boolean {
		const now = this.options.now()
		if (this.uncertainSince === undefined) {
			this.uncertainSince = now
			const revision = describeRevision(this.record.revision ?? NO_REVISION)
			const unheard = this.record.unheard.join(' ')
			this.options.log({ name: 'allowance-uncertain', fields: { revision, unheard } })
		}
		return now - this.uncertainSince >= WITNESS_WAIT_MS
	}

	/** Claims once; false where the store did not grant it. */
	async claim(): Promise<boolean> {
		const { box, holder, address, isFirstStart } = this.options
		const found = await this.findPromise()
		if (E.isLeft(found)) return false
		if (await this.record.read()) return false
		const { era, row } = this.record
		const before = row.boxes[box]
		const isUncertain = mayLackDraws(row, { box, era, isFirstStart })
		// How much may be missing is counted by the budgets: they come with the configuration.
		if (isUncertain && this.state.budgets.version === 0) return false
		if (isUncertain && !isDrawKnown(row, box, era) && !this.hasWaitedForOthers()) return false
		const budgets = largestOf(row.budgets, this.state.budgets.tokens)
		const { mark, startedAt } = found.right
		const facts = { box, mark, startedAt, era, budgets, isFirstStart }
		const spent = spentAtMost(row, facts)
		const next = planClaim(row, { box, holder, address, spent, era, isFirstStart })
		const result = await this.record.write(next)
		if (E.isLeft(result)) return false
		// Another box wrote first, or a write of ours whose answer was lost: claiming again does no harm.
		if (result.right === 'conflict') {
			await this.options.sleep(this.options.random() * CLAIM_CONFLICT_PAUSE_MS)
			return this.claim()
		}
		this.state.book.claim(spent)
		this.claimedEra = era
		this.logClaim(found.right, isUncertain, sum(before?.drawn), sum(spent))
		return true
	}

	private logClaim(
		found: FoundPromise,
		isUncertain: boolean,
		drawnBefore: number,
		spentBefore: number,
	): void {
		this.options.log({
			name: 'allowance-claimed',
			fields: {
				holder: this.options.holder,
				revision: describeRevision(this.record.revision ?? NO_REVISION),
				promise: found.mark?.holder ?? '',
				promiseAgeMs: found.mark ? Math.round(found.startedAt - found.mark.wallTime) : -1,
				isUncertain,
				drawnBefore,
				spentBefore,
			},
		})
	}

	/** The promise of the earlier incarnation, read once: a later look would find its lease over. */
	private async findPromise(): Promise<E.Either<StoreFault, FoundPromise>> {
		if (this.found) return E.right(this.found)
		const read = await this.promise.readPrevious()
		if (E.isLeft(read)) return E.left(this.record.noteFault(read.left))
		const startedAt = this.options.wallTime() - this.options.aliveMs()
		this.found = { mark: read.right, startedAt }
		return E.right(this.found)
	}
}

function sum(tokens: Readonly<Record<AccountName, number>> | undefined): number {
	return Object.values<number>(tokens ?? {}).reduce((total, amount) => total + amount, 0)
}
