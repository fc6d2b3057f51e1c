import {
	describeRevision,
	NO_REVISION,
	releaseWithheldTokens,
	withheldTokens,
	type AccountName,
	type LogEvent,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { AllowanceRecord } from '../AllowanceRecord.js'

/** Outcome of a release of withheld tokens. @public */
export type ReleaseResult = 'released' | 'nothing-withheld' | 'store-failed'

const MAX_WRITE_ATTEMPTS = 8

/** Makes the withheld tokens of an account available to all boxes again. */
export async function releaseWithheld(
	record: AllowanceRecord,
	account: AccountName,
	log: (event: LogEvent) => void,
): Promise<ReleaseResult> {
	if (await record.read()) return 'store-failed'
	for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
		const tokens = withheldTokens(record.row, account)
		if (tokens === 0) return 'nothing-withheld'
		const result = await record.write(releaseWithheldTokens(record.row, account))
		if (E.isLeft(result)) return 'store-failed'
		if (result.right === 'conflict') continue
		const revision = describeRevision(record.revision ?? NO_REVISION)
		log({ name: 'allowance-released', fields: { account, tokens, revision } })
		return 'released'
	}
	return 'store-failed'
}
