import {
	NO_REVISION,
	describeRevision,
	isDrawKnown,
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

export interface AllowanceClaimerOptions extends AllowanceDrawerOptions {
	readonly spendingLimits: SpendingLimitRecord
}

/** Spending limits that the previous process of this box stored. */
interface PreviousSpendingLimits {
	readonly spendingLimits: SpendingLimits | undefined
	/** Wall-clock time at which this process started, in ms. */
	readonly startedAt: number
}

const MAX_CLAIM_CONFLICT_DELAY_MS = 40
/**
 * Time to wait for other boxes to write the draws that the previous process replicated to them, in ms.
 * Afterwards all tokens that no box is known to have drawn count as spent.
 */
const REPLICATED_DRAWS_WAIT_MS = 2_500

/** Claims the exclusive right to draw for this process. An earlier process of the same box loses it. */
export class AllowanceClaimer {
	private readonly spendingLimits: SpendingLimitRecord
	private readonly record: AllowanceRecord
	private readonly state: AllowanceState
	private previousSpendingLimits: PreviousSpendingLimits | undefined
	private uncertainSince: number | undefined
	private eraOfClaim = 0

	constructor(private readonly options: AllowanceClaimerOptions) {
		this.spendingLimits = options.spendingLimits
		this.record = options.record
		this.state = options.state
	}

	/** Store era in which this process made its claim; 0 before. */
	get claimedInEra(): number {
		return this.eraOfClaim
	}

	/** True once other boxes have had {@link REPLICATED_DRAWS_WAIT_MS} to write the draws of the previous process. */
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

	/** Tries to claim once. Returns false if a store call failed or the claim has to wait. */
	async claim(): Promise<boolean> {
		const { box, holder, address, isFirstStart } = this.options
		const previous = await this.readPreviousSpendingLimits()
		if (E.isLeft(previous)) return false
		if (await this.record.read()) return false
		const { era, row } = this.record
		const previousDraws = row.boxes[box]
		const isUncertain = mayMissDraws(row, { box, era, isFirstStart })
		// The size of the missing draws is estimated from the budgets, which arrive with the configuration.
		if (isUncertain && this.state.budgets.version === 0) return false
		const hasLostDraws = isUncertain && !isDrawKnown(row, box, era)
		if (hasLostDraws && !this.hasWaitedForReplicatedDraws()) return false
		const { spendingLimits, startedAt } = previous.right
		const facts = { box, spendingLimits, startedAt, era, isFirstStart }
		const spent = maxSpentByPredecessor(row, facts)
		const claimedRow = planClaim(row, {
			box,
			holder,
			address,
			spent,
			era,
			budgets: this.state.budgets.tokens,
			isFirstClaim: !isUncertain,
			hasLostDraws,
			wallTime: this.options.wallTime(),
		})
		const result = await this.record.write(claimedRow)
		if (E.isLeft(result)) return false
		// Another box wrote first, or a previous write succeeded without an answer. Retrying is safe.
		if (result.right === 'conflict') {
			await this.options.sleep(this.options.random() * MAX_CLAIM_CONFLICT_DELAY_MS)
			return this.claim()
		}
		this.state.ledger.claim(spent)
		this.eraOfClaim = era
		if (hasLostDraws) this.logWithheld()
		this.logClaim(
			previous.right,
			isUncertain,
			totalTokens(previousDraws?.drawn),
			totalTokens(spent),
		)
		return true
	}

	private logWithheld(): void {
		const revision = describeRevision(this.record.revision ?? NO_REVISION)
		for (const account of this.state.accounts) {
			const tokens = this.state.withheld(account)
			if (tokens === 0) continue
			const budget = this.state.budgets.tokens[account] ?? 0
			this.options.log({
				name: 'allowance-withheld',
				fields: { account, tokens, budget, revision },
			})
		}
	}

	private logClaim(
		previous: PreviousSpendingLimits,
		isUncertain: boolean,
		drawnBefore: number,
		spentBefore: number,
	): void {
		this.options.log({
			name: 'allowance-claimed',
			fields: {
				holder: this.options.holder,
				revision: describeRevision(this.record.revision ?? NO_REVISION),
				promise: previous.spendingLimits?.holder ?? '',
				promiseAgeMs: previous.spendingLimits
					? Math.round(previous.startedAt - previous.spendingLimits.wallTime)
					: -1,
				isUncertain,
				drawnBefore,
				spentBefore,
			},
		})
	}

	/** Reads the spending limits of the previous process. The result is cached because their lease expires. */
	private async readPreviousSpendingLimits(): Promise<
		E.Either<StoreFault, PreviousSpendingLimits>
	> {
		if (this.previousSpendingLimits) return E.right(this.previousSpendingLimits)
		const read = await this.spendingLimits.readPrevious()
		if (E.isLeft(read)) return E.left(this.record.noteFault(read.left))
		const startedAt = this.options.wallTime() - this.options.uptimeMs()
		this.previousSpendingLimits = { spendingLimits: read.right, startedAt }
		return E.right(this.previousSpendingLimits)
	}
}

function totalTokens(tokens: Readonly<Record<AccountName, number>> | undefined): number {
	return Object.values<number>(tokens ?? {}).reduce((total, amount) => total + amount, 0)
}
