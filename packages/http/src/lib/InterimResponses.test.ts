import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { InterimResponses } from './InterimResponses.js'

// Guards against sound responses that are taken for interim ones, and against floods that are found only by parsing them.

const MAX_COUNT = 5
const RESPONSE =
	'HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 C\r\n\r\n'

const interimResponse = fc.constantFrom(
	'HTTP/1.1 100 Continue\r\n\r\n',
	'HTTP/1.1 102 Processing\r\n\r\n',
	'\r\nHTTP/1.1 100 Continue\r\n\r\n',
	'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nx: y\r\n\r\n',
)

/** The bytes of a connection, in the reads in which they arrive. */
function readsOf(text: string, offsets: readonly number[]): readonly Buffer[] {
	const bytes = Buffer.from(text)
	const ends = [...offsets.map((offset) => offset % bytes.length), bytes.length]
	const sorted = [0, ...ends.sort((a, b) => a - b)]
	return sorted.slice(1).map((end, i) => Buffer.from(bytes.subarray(sorted[i], end)))
}

function findExcess(reads: readonly Buffer[]): number | undefined {
	const responses = new InterimResponses(MAX_COUNT)
	let before = 0
	for (const bytes of reads) {
		const excess = responses.hasResponseBegun ? undefined : responses.findExcess(bytes)
		if (excess !== undefined) return before + excess
		before += bytes.length
	}
	return undefined
}

const offsets = fc.array(fc.nat({ max: 1_000 }), { maxLength: 6 })

describe('InterimResponses', () => {
	it('lets a response pass behind as many as allowed, however it arrives', () => {
		fc.assert(
			fc.property(fc.array(interimResponse, { maxLength: MAX_COUNT }), offsets, (interim, cuts) => {
				expect(findExcess(readsOf(interim.join('') + RESPONSE, cuts))).toBeUndefined()
			}),
			{ seed: 4 },
		)
	})

	it('finds those beyond, however they arrive', () => {
		const tooMany = fc.array(interimResponse, { minLength: MAX_COUNT + 1 })
		fc.assert(
			fc.property(tooMany, offsets, (interim, cuts) => {
				const text = interim.join('')
				expect(findExcess(readsOf(text, cuts))).toBeDefined()
				const allowed = interim.slice(0, MAX_COUNT).join('').length
				const found = findExcess([Buffer.from(text)]) ?? 0
				expect(text.slice(allowed, found).trim()).toBe('')
			}),
			{ seed: 5 },
		)
	})

	it('never finds one too early, however they arrive', () => {
		fc.assert(
			fc.property(fc.array(interimResponse, { maxLength: 20 }), offsets, (interim, cuts) => {
				const allowed = interim.slice(0, MAX_COUNT).join('').length
				const found = findExcess(readsOf(interim.join('') + RESPONSE, cuts))
				expect(found === undefined || found >= allowed).toBe(true)
			}),
			{ seed: 6 },
		)
	})
})
