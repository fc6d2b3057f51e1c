import type { StoreChange } from '@stallwing/store'
import type { FeedAnswer } from './FeedRelay.js'

/** A change as boxes write it to each other; without a value, the key is gone. */
interface WireChange {
	readonly key: string
	readonly revision: number
	/** Base64. */
	readonly value?: string
}

/** A {@link FeedAnswer} as boxes write it to each other. */
interface WireAnswer {
	readonly fresh: boolean
	readonly changes: readonly WireChange[]
}

/** A JSON document for an answer. */
export function encodeFeedAnswer({ fresh, changes }: FeedAnswer): WireAnswer {
	return { fresh, changes: changes.map(encodeChange) }
}

/** Reads what {@link encodeFeedAnswer} made; undefined where it is something else. */
export function decodeFeedAnswer(text: string): FeedAnswer | undefined {
	try {
		const answer = JSON.parse(text) as Partial<WireAnswer>
		if (typeof answer.fresh !== 'boolean' || !Array.isArray(answer.changes)) return undefined
		const changes = (answer.changes as WireChange[]).map(decodeChange)
		return { fresh: answer.fresh, changes }
	} catch {
		return undefined
	}
}

function encodeChange(change: StoreChange): WireChange {
	if (change.kind === 'gone') return { key: change.key, revision: change.revision }
	const { key, revision, value } = change.item
	return { key, revision, value: value.toString('base64') }
}

/** @throws where a field is missing. */
function decodeChange({ key, revision, value }: WireChange): StoreChange {
	if (typeof key !== 'string' || !Number.isSafeInteger(revision)) throw new Error('not a change')
	if (value === undefined) return { kind: 'gone', key, revision }
	return { kind: 'written', item: { key, revision, value: Buffer.from(value, 'base64') } }
}
