import { brandId, type Account, type AccountName } from '@stallwing/core'
import { describe, expect, it } from 'vitest'
import { requestFingerprint } from './requestFingerprint.js'

function account(name: string): Account {
	return {
		name: brandId<AccountName>(name),
		keys: [],
		rank: 0,
		tokenBudget: undefined,
		regions: undefined,
	}
}

const REQUEST = { method: 'POST', path: '/a/x', account: account('acme') }
const BODY = Buffer.from('body')

describe('requestFingerprint', () => {
	it('is the same for the same content', () => {
		expect(requestFingerprint({ ...REQUEST }, Buffer.from('body'))).toBe(
			requestFingerprint(REQUEST, BODY),
		)
	})

	it('differs by method, path, account and body, and by the boundary between path and body', () => {
		const fingerprints = [
			requestFingerprint({ ...REQUEST, method: 'PUT' }, BODY),
			requestFingerprint({ ...REQUEST, path: '/a/y' }, BODY),
			requestFingerprint({ ...REQUEST, account: account('other') }, BODY),
			requestFingerprint({ ...REQUEST, account: undefined }, BODY),
			requestFingerprint(REQUEST, Buffer.from('bodies')),
			requestFingerprint({ ...REQUEST, path: '/a/xb' }, Buffer.from('ody')),
			requestFingerprint(REQUEST, BODY),
		]
		expect(new Set(fingerprints).size).toBe(fingerprints.length)
	})
})
