/**
 * What was seen: boxes sent requests to a target 2.2 s and 4.5 s after it had said in an answer that it leaves, and
 * three and four requests in the 3 s for which targets had asked a box for rest.
 * How it came about: the store was away, so that the list went on saying that the target is ready; and two targets of
 * six that turned all requests away at once looked the cheapest, for they had no work.
 * Cause: a box took the load of a target from its answers, and nothing else. What it says there of its leaving was not
 * read, and being turned away changed nothing that is believed of a target.
 * Proof: the line of each choice after such an answer shows the entry of before the outage and all targets as
 * candidates, beside a load exactly as old as that answer.
 */
import { afterEach, describe, expect, it } from 'vitest'
import {
	DEFAULT_BOX_COUNT,
	MAX_DRAIN_DELAY_MS,
	OK_ANSWER,
	LEAVING_NOTICE,
	NoticeFleet,
	TARGET_COUNT,
	BACKOFF_ANSWER,
} from './testNoticeFleet.js'

/** For how long requests are sent once targets speak: the time of a drain, and as long after it as it takes to see. */
const LEAVING_MS = 3_500
/** Requests of a box that may reach a target in a backoff. */
const MOST_IN_BACKOFF = 2
/** For how long requests are sent while targets turn boxes away: two backoffs. */
const BACKING_OFF_MS = 3_500

describe('what targets say of themselves in their answers', () => {
	let fleet: NoticeFleet
	afterEach(() => fleet.stop())

	it('keeps a box from targets that leave, whatever the answer and whatever the list says', async () => {
		fleet = new NoticeFleet({
			t0: { ...OK_ANSWER, notice: LEAVING_NOTICE },
			t1: { ...OK_ANSWER, status: 503, notRun: true, notice: LEAVING_NOTICE },
			t2: { ...OK_ANSWER, stream: true, notice: LEAVING_NOTICE },
			t3: { ...OK_ANSWER, status: 500, notice: LEAVING_NOTICE },
		})
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/', '/resume/'], LEAVING_MS)
		expect(fleet.leavingPairs).toBeGreaterThan(DEFAULT_BOX_COUNT)
		expect(fleet.requestsAfterDrain).toBe(0)
		expect(fleet.failuresAfter(MAX_DRAIN_DELAY_MS)).toBe(0)
	})

	it('leaves targets alone for as long as they ask a box to', async () => {
		fleet = new NoticeFleet({ t0: BACKOFF_ANSWER, t1: BACKOFF_ANSWER })
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/'], BACKING_OFF_MS)
		expect(fleet.backoffCount).toBeGreaterThan(DEFAULT_BOX_COUNT)
		expect(fleet.maxRequestsInBackoff).toBeLessThanOrEqual(MOST_IN_BACKOFF)
	})

	it('refuses at once while all targets ask for a backoff, and tells callers when the first one takes work again', async () => {
		const all = Array.from({ length: TARGET_COUNT }, (_, i) => [`t${i}`, BACKOFF_ANSWER] as const)
		fleet = new NoticeFleet(Object.fromEntries(all))
		await fleet.start()
		await fleet.sendRequests(['/once/', '/again/'], BACKING_OFF_MS)
		expect(fleet.maxRequestsInBackoff).toBeLessThanOrEqual(MOST_IN_BACKOFF)
		expect(fleet.prematureRetryCount).toBe(0)
	})
})
