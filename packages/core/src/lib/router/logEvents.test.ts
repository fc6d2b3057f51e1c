import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { LOG_EVENTS } from './logEvents.js'

const DOCS = new URL('../../../../../docs/EVENTS.md', import.meta.url)

describe('log events', () => {
	it('match docs/EVENTS.md', () => {
		const rows = [
			...readFileSync(DOCS, 'utf8').matchAll(/^\| (\d+) +\| `([a-z-]+)` +\| (.+?) +\|$/gm),
		]
		const documented = rows.map(([, number, name, text]) => ({
			number: Number(number),
			name,
			text,
		}))
		const inCode = Object.entries(LOG_EVENTS).map(([name, { number, text }]) => ({
			number,
			name,
			text,
		}))
		expect(documented).toEqual(inCode)
	})

	it('have unique numbers', () => {
		const numbers = Object.values(LOG_EVENTS).map((event) => event.number)
		expect(new Set(numbers).size).toBe(numbers.length)
	})
})
