/** Head of an answer, as a parser has read it. @public */
export interface AnswerHead {
	readonly status: number
	/** Version of the protocol, such as `1.1`; undefined if the reader does not tell it. */
	readonly httpVersion?: string
	/** Names and values alternate, as received. */
	readonly rawHeaders: readonly string[]
}

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1'])
const MIN_STATUS = 100
const MAX_STATUS = 599
const FIELD_NAME_PATTERN = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/
// A control character other than the tab, or one that is not a byte.
const INVALID_VALUE_PATTERN = /[^\t\x20-\x7e\x80-\xff]/

/**
 * Returns why a head is not one of HTTP/1.0 or HTTP/1.1; undefined if it is. Must be called before anything is decided from
 * a head: which heads a parser rejects depends on its version and options.
 * @public
 */
export function findHeadFault({ httpVersion, rawHeaders, status }: AnswerHead): string | undefined {
	if (httpVersion !== undefined && !VERSIONS.has(httpVersion)) return 'version of the protocol'
	if (!Number.isInteger(status) || status < MIN_STATUS || status > MAX_STATUS) return 'status'
	return findFieldFault(rawHeaders)
}

/**
 * Returns why the fields of a head, or of trailers, are not valid; undefined if they are. Names and values alternate.
 * @public
 */
export function findFieldFault(fields: readonly string[]): string | undefined {
	for (let i = 0; i < fields.length; i += 2) {
		if (!FIELD_NAME_PATTERN.test(fields[i] ?? '')) return 'name of a field'
		if (INVALID_VALUE_PATTERN.test(fields[i + 1] ?? '')) return 'value of a field'
	}
	return undefined
}
