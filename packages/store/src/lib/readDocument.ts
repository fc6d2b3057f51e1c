import * as E from 'fp-ts/lib/Either.js'
import type { z } from 'zod'

/** Reason why a document cannot be read; `what` names the field and the problem. */
export interface UnreadableDocument {
	readonly kind: 'unreadable'
	readonly what: string
}

const UTF8 = new TextDecoder('utf-8', { fatal: true })

/** Parses a JSON document of the store and validates it. Bytes that are not valid UTF-8 are an error. */
export function readDocument<T>(
	value: Buffer,
	schema: z.ZodType<T>,
): E.Either<UnreadableDocument, T> {
	let document: unknown
	try {
		document = JSON.parse(UTF8.decode(value))
	} catch (error) {
		return E.left({ kind: 'unreadable', what: String(error) })
	}
	const parsed = schema.safeParse(document)
	if (parsed.success) return E.right(parsed.data)
	const issue = parsed.error.issues[0]
	return E.left({ kind: 'unreadable', what: `${issue?.path.join('.')}: ${issue?.message}` })
}
