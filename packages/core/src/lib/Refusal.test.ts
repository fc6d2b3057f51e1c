import { readFileSync } from 'node:fs'
import { describe, expect, it } from 'vitest'
import { REFUSAL_STATUS } from './Refusal.js'

const DOCS = new URL('../../../../docs/ERRORS.md', import.meta.url)

describe('the error catalogue', () => {
	it('lists the same types and statuses as the code', () => {
		const rows = [...readFileSync(DOCS, 'utf8').matchAll(/^\| `([a-z-]+)` +\| (\d{3})/gm)]
		const documented = Object.fromEntries(rows.map(([, type, status]) => [type, Number(status)]))
		expect(documented).toEqual(REFUSAL_STATUS)
	})
})
