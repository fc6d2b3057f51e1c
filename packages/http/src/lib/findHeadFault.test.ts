import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { findHeadFault } from './findHeadFault.js'

// Guards against heads that are no HTTP and that a parser lets through.

const TOKEN_CHARS = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

function faultOf(status: number, rawHeaders: readonly string[] = [], httpVersion = '1.1') {
	return findHeadFault({ status, httpVersion, rawHeaders })
}

describe('findHeadFault', () => {
	it('accepts every status of HTTP, and both versions', () => {
		for (let status = 100; status <= 599; status++) expect(faultOf(status)).toBe(undefined)
		expect(faultOf(200, [], '1.0')).toBe(undefined)
		expect(findHeadFault({ status: 200, rawHeaders: [] })).toBe(undefined)
	})

	it.each([0, 20, 99, 600, 999, 2_000, -1, 200.5, NaN])('rejects status %d', (status) => {
		expect(faultOf(status)).toBe('status')
	})

	it.each(['0.9', '1.2', '2.0', '3.0', ''])('rejects version %j', (version) => {
		expect(faultOf(200, [], version)).toBe('version of the protocol')
	})

	it('rejects each character in a name that is none of a token, wherever it stands', () => {
		const invalid = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code)).filter(
			(char) => !TOKEN_CHARS.includes(char),
		)
		for (const char of invalid)
			for (const name of [char, `${char}name`, `na${char}me`, `name${char}`])
				expect(faultOf(200, ['a', 'b', name, 'value'])).toBe('name of a field')
		expect(faultOf(200, ['', 'value'])).toBe('name of a field')
	})

	it('accepts any name of a token', () => {
		const name = fc.array(fc.constantFrom(...TOKEN_CHARS), { minLength: 1 })
		fc.assert(fc.property(name, (chars) => faultOf(200, [chars.join(''), 'value']) === undefined))
	})

	it('rejects control characters and line ends in a value, and accepts tabs and other bytes', () => {
		for (let code = 0; code < 256; code++) {
			const isInvalid = (code < 0x20 && code !== 0x09) || code === 0x7f
			const expected = isInvalid ? 'value of a field' : undefined
			expect(faultOf(200, ['name', `a${String.fromCharCode(code)}b`])).toBe(expected)
		}
	})
})
