import { describe, expect, it } from 'vitest'
import { brandId, type ServiceName } from '../ids.js'
import { ReplacementLimiter } from './ReplacementLimiter.js'

// Guards against one pause of all targets, or of this box, using up the retries of the fleet.

const SERVICE = brandId<ServiceName>('service')
const OTHER = brandId<ServiceName>('other')
const SILENT_MS = 1_000

describe('ReplacementLimiter', () => {
	it('replaces all silent attempts while other targets of the service send something', () => {
		const limiter = new ReplacementLimiter()
		limiter.noteReceived(SERVICE, 4_600)
		for (let i = 0; i < 3; i++) {
			expect(limiter.mayReplace(SERVICE, SILENT_MS, 5_000)).toBe(true)
			limiter.begin(SERVICE, SILENT_MS, 5_000)
		}
	})

	it('replaces one at a time while all targets of the service are silent', () => {
		const limiter = new ReplacementLimiter()
		limiter.noteReceived(SERVICE, 4_000)
		limiter.noteReceived(OTHER, 5_000)
		expect(limiter.mayReplace(SERVICE, SILENT_MS, 5_000)).toBe(true)
		const end = limiter.begin(SERVICE, SILENT_MS, 5_000)
		expect(limiter.mayReplace(SERVICE, SILENT_MS, 5_001)).toBe(false)
		expect(limiter.mayReplace(OTHER, SILENT_MS, 5_001)).toBe(true)
		end()
		expect(limiter.mayReplace(SERVICE, SILENT_MS, 5_300)).toBe(true)
	})

	it('replaces all of them once the first replacement has been answered', () => {
		const limiter = new ReplacementLimiter()
		limiter.begin(SERVICE, SILENT_MS, 5_000)
		limiter.noteReceived(SERVICE, 5_050)
		expect(limiter.mayReplace(SERVICE, SILENT_MS, 5_060)).toBe(true)
	})
})
