// Guards against boxes that send requests to a target that announced that it is leaving, or during its backoff: the list
// of targets may be outdated, and a target that rejects requests quickly would look the cheapest.
import { afterEach, describe, expect, it } from 'vitest'
import {
	DEFAULT_BOX_COUNT,
	MAX_DRAIN_DELAY_MS,
	OK,
	LEAVING_NOTICE,
	NoticeFleet,
	TARGET_COUNT,
	BACKOFF_RESPONSE,
} from './testNoticeFleet.js'

/** Duration of the requests, in ms: the drain delay and enough time after it. */
const LEAVING_TEST_MS = 3_500
/** Requests of a box that may reach a target during a backoff. */
const MAX_REQUESTS_IN_BACKOFF = 2
/** Duration of the requests, in ms: two backoffs. */
const BACKOFF_TEST_MS = 3_500

describe('notices in the responses of targets', () => {
	let fleet: NoticeFleet
	afterEach(() => fleet.stop())

	it('stop a box from sending to leaving targets, whatever the status and the target list', async () => {
		fleet = new NoticeFleet({
			t0: { ...OK, noticeHeaders: LEAVING_NOTICE },
			t1: { ...OK, status: 503, notRun: true, noticeHeaders: LEAVING_NOTICE },
			t2: { ...OK, isStream: true, noticeHeaders: LEAVING_NOTICE },
			t3: { ...OK, status: 500, noticeHeaders: LEAVING_NOTICE },
		})
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/', '/resume/'], LEAVING_TEST_MS)
		expect(fleet.leavingPairs).toBeGreaterThan(DEFAULT_BOX_COUNT)
		expect(fleet.requestsAfterDrain).toBe(0)
		expect(fleet.failuresAfter(MAX_DRAIN_DELAY_MS)).toBe(0)
	})

	it('stop a box from sending to a target during its backoff', async () => {
		fleet = new NoticeFleet({ t0: BACKOFF_RESPONSE, t1: BACKOFF_RESPONSE })
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/'], BACKOFF_TEST_MS)
		expect(fleet.backoffCount).toBeGreaterThan(DEFAULT_BOX_COUNT)
		expect(fleet.maxRequestsInBackoff).toBeLessThanOrEqual(MAX_REQUESTS_IN_BACKOFF)
	})

	it('make a box refuse requests while all targets back off, with the delay until the first accepts work', async () => {
		const answers = Array.from(
			{ length: TARGET_COUNT },
			(_, i) => [`t${i}`, BACKOFF_RESPONSE] as const,
		)
		fleet = new NoticeFleet(Object.fromEntries(answers))
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/'], BACKOFF_TEST_MS)
		expect(fleet.maxRequestsInBackoff).toBeLessThanOrEqual(MAX_REQUESTS_IN_BACKOFF)
		expect(fleet.prematureRetryCount).toBe(0)
	})
})
