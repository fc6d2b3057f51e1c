import {
	NO_REVISION,
	describeRevision,
	isDrawKnown,
	maxByAccount,
	mayMissDraws,
	planClaim,
	maxSpentByPredecessor,
	type AccountName,
	type SpendingLimits,
} from '@stallwing/core'
import type { StoreFault } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { AllowanceDrawerOptions } from './AllowanceDrawer.js'
import type { AllowanceRecord } from './AllowanceRecord.js'
import type { AllowanceState } from './AllowanceState.js'
import type { SpendingLimitRecord } from './SpendingLimitRecord.js'

/** What an {@link AllowanceClaimer} works with. */
export interface AllowanceClaimerOptions extends AllowanceDrawerOptions {
	readonly spendingLimits: SpendingLimitRecord
}

/** What the earlier incarnation had promised when this one looked. */
interface PreviousSpendingLimits {
	readonly mark: SpendingLimits | undefined
	/** Time of day when this incarnation started, in ms. */
	readonly startedAt: number
}

const MAX_CLAIM_CONFLICT_DELAY_MS = 40
/**
 * Time that a new process waits for others to write what the one before it drew, in ms: after it, all that nobody is
 * known to have drawn counts as spent.
 */
const REPLICATED_DRAWS_WAIT_MS = 5_000

/** Claims the right to draw for this box: from then on an earlier process of it has lost that right. */
export class AllowanceClaimer {
	private readonly spendingLimits: SpendingLimitRecord
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private previousSpendingLimits: PreviousSpendingLimits | undefined
	private uncertainSince: number | undefined
	private claimedEra = 0

	constructor(private readonly options: AllowanceClaimerOptions) {
		this.spendingLimits = options.spendingLimits
		this.record = options.record
		this.state = options.state
	}

	/** Era of the store in which this process claimed. */
	get claimedIn(): number {
		return this.claimedEra
	}

	/** True once others had the time to write what they remember of the earlier process. */
	private hasWaitedForReplicatedDraws(): boolean {
		const now = this.options.now()
		if (this.uncertainSince === undefined) {
			this.uncertainSince = now
			const revision = describeRevision(this.record.revision ?? NO_REVISION)
			const unheard = this.record.staleBoxes.join(' ')
			this.options.log({ name: 'allowance-uncertain', fields: { revision, unheard } })
		}
		return now - this.uncertainSince >= REPLICATED_DRAWS_WAIT_MS
	}

	/** Claims once; false where the store did not grant it. */
	async claim(): Promise<boolean> {
		const { box, holder, address, isFirstStart } = this.options
		const found = await this.readPreviousSpendingLimits()
		if (E.isLeft(found)) return false
		if (await this.record.read()) return false
		const { era, row } = this.record
		const before = row.boxes[box]
		const isUncertain = mayMissDraws(row, { box, era, isFirstStart })
		// How much may be missing is counted by the budgets: they come with the configuration.
		if (isUncertain && this.state.budgets.version === 0) return false
		if (isUncertain && !isDrawKnown(row, box, era) && !this.hasWaitedForReplicatedDraws())
			return false
		const budgets = maxByAccount(row.budgets, this.state.budgets.tokens)
		const { mark, startedAt } = found.right
		const facts = { box, mark, startedAt, era, budgets, isFirstStart }
		const spent = maxSpentByPredecessor(row, facts)
		const next = planClaim(row, { box, holder, address, spent, era, isFirstStart })
		const result = await this.record.write(next)
		if (E.isLeft(result)) return false
		// Another box wrote first, or a write of ours whose answer was lost: claiming again does no harm.
		if (result.right === 'conflict') {
			await this.options.sleep(this.options.random() * MAX_CLAIM_CONFLICT_DELAY_MS)
			return this.claim()
		}
		this.state.book.claim(spent)
		this.claimedEra = era
		this.logClaim(found.right, isUncertain, totalTokens(before?.drawn), totalTokens(spent))
		return true
	}

	private logClaim(
		found: PreviousSpendingLimits,
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
	private async readPreviousSpendingLimits(): Promise<
		E.Either<StoreFault, PreviousSpendingLimits>
	> {
		if (this.previousSpendingLimits) return E.right(this.previousSpendingLimits)
		const read = await this.spendingLimits.readPrevious()
		if (E.isLeft(read)) return E.left(this.record.noteFault(read.left))
		const startedAt = this.options.wallTime() - this.options.uptimeMs()
		this.previousSpendingLimits = { mark: read.right, startedAt }
		return E.right(this.previousSpendingLimits)
	}
}

function totalTokens(tokens: Readonly<Record<AccountName, number>> | undefined): number {
	return Object.values<number>(tokens ?? {}).reduce((total, amount) => total + amount, 0)
}
