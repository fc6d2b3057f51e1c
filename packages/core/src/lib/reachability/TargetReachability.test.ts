/** Guards against targets that fail by themselves being taken for a lost path of this box, and the other way round. */
import { describe, expect, it } from 'vitest'
import { brandId, type ServiceName } from '../ids.js'
import { TargetReachability } from './TargetReachability.js'

const SERVICE = brandId<ServiceName>('service')
const OTHER = brandId<ServiceName>('other')

describe('TargetReachability', () => {
	it('stays reachable if a probe succeeds after a failed connection', () => {
		const reachability = new TargetReachability()
		expect(reachability.noteConnectFailed(SERVICE, 1_000)).toBe(true)
		reachability.noteConnected(SERVICE, 1_002)
		expect(reachability.finishCheck(SERVICE)).toBe(false)
		expect(reachability.stateOf(SERVICE)).toBe('reachable')
	})

	it('becomes unreachable if the probes fail too, for this service only', () => {
		const reachability = new TargetReachability()
		reachability.noteConnectFailed(SERVICE, 1_000)
		expect(reachability.stateOf(SERVICE)).toBe('checking')
		expect(reachability.finishCheck(SERVICE)).toBe(true)
		expect(reachability.unreachable).toEqual([SERVICE])
		expect(reachability.stateOf(OTHER)).toBe('reachable')
	})

	it('becomes reachable with the first connection that succeeds', () => {
		const reachability = new TargetReachability()
		reachability.noteConnectFailed(SERVICE, 1_000)
		reachability.finishCheck(SERVICE)
		expect(reachability.noteConnected(SERVICE, 5_000)).toBe(true)
		expect(reachability.unreachable).toEqual([])
	})

	it('does not count bytes on old connections as a path', () => {
		const reachability = new TargetReachability()
		reachability.noteConnectFailed(SERVICE, 1_000)
		reachability.noteReceived(SERVICE, 1_010)
		expect(reachability.finishCheck(SERVICE)).toBe(true)
	})

	it('has a silent target probed only if none has sent anything since the request, and once', () => {
		const reachability = new TargetReachability()
		reachability.noteReceived(SERVICE, 1_100)
		expect(reachability.noteSilence(SERVICE, 1_000, 1_300)).toBe(false)
		expect(reachability.noteSilence(SERVICE, 1_200, 1_500)).toBe(true)
		expect(reachability.noteSilence(SERVICE, 1_400, 1_700)).toBe(false)
		expect(reachability.noteSilence(SERVICE, 1_600, 1_900)).toBe(true)
		expect(reachability.stateOf(SERVICE)).toBe('reachable')
	})

	it('limits checks while single targets keep failing', () => {
		const reachability = new TargetReachability()
		let checks = 0
		for (let now = 0; now < 10_000; now += 10) {
			if (!reachability.noteConnectFailed(SERVICE, now)) continue
			checks++
			reachability.noteConnected(SERVICE, now + 2)
		}
		expect(checks).toBeLessThanOrEqual(20)
	})
})
