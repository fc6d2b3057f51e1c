// Guards against boxes that together exceed the rate limit that a target advertises: targets with limits of 1.3 and 1.4
// requests per second received 15 and 23 in 4 s, where 13 are allowed.
import { maxCountInWindow } from '@stallwing/core'
import { afterEach, describe, expect, it } from 'vitest'
import { TEST_DIALECT } from './testDialect.js'
import { OK, NoticeFleet, TARGET_COUNT } from './testNoticeFleet.js'

const BOXES = 7
/** Rate limit of each limited target, in requests per second. */
const RATE_LIMIT = 1.3
const LIMITED_RESPONSE = {
	...OK,
	noticeHeaders: { [TEST_DIALECT.headers.requestRate]: String(RATE_LIMIT) },
}
const WINDOW_MS = 4_000
/** Requests that a target accepts in {@link WINDOW_MS}: 1.5 times its rate limit, and a tolerance of five. */
const MAX_IN_WINDOW = Math.floor(1.5 * RATE_LIMIT * (WINDOW_MS / 1_000) + 5)
/** Time after its first response with a rate limit from which the requests of a box count, in ms. */
const NOTICE_DELAY_MS = 500
const TEST_MS = 7_000
/** Time within which a request is refused if no target accepts it, in ms. */
const MAX_REFUSAL_MS = 100
const ROUTES = ['/once/', '/again/', '/resume/']

/** Maximum number of requests in one window, from boxes that know the rate limit. */
function maxInWindow(fleet: NoticeFleet, target: string): number {
	return maxCountInWindow(fleet.requestTimes(target, NOTICE_DELAY_MS), WINDOW_MS)
}

/** Responses of a fleet in which every target has the rate limit. */
const ALL_LIMITED = Object.fromEntries(
	Array.from({ length: TARGET_COUNT }, (_, i) => [`t${i}`, LIMITED_RESPONSE]),
)

describe('targets with a rate limit for all boxes together', () => {
	let fleet: NoticeFleet
	afterEach(() => fleet.stop())

	it('get no more requests than the limit, whatever the kind of request', async () => {
		fleet = new NoticeFleet(
			{ t0: LIMITED_RESPONSE, t1: LIMITED_RESPONSE },
			{ boxCount: BOXES, arePeersConnected: true },
		)
		await fleet.start()
		await fleet.sendRequests(ROUTES, TEST_MS)
		expect(maxInWindow(fleet, 't0')).toBeLessThanOrEqual(MAX_IN_WINDOW)
		expect(maxInWindow(fleet, 't1')).toBeLessThanOrEqual(MAX_IN_WINDOW)
	})

	it('get no more requests than the limit if all targets of a service have one', async () => {
		fleet = new NoticeFleet(ALL_LIMITED, { boxCount: BOXES, arePeersConnected: true })
		await fleet.start()
		await fleet.sendRequests(ROUTES, TEST_MS)
		for (const name of Object.keys(ALL_LIMITED))
			expect(maxInWindow(fleet, name)).toBeLessThanOrEqual(MAX_IN_WINDOW)
		const served = fleet.successesAfter(NOTICE_DELAY_MS)
		expect(served).toBeGreaterThan(
			0.7 * TARGET_COUNT * RATE_LIMIT * ((TEST_MS - NOTICE_DELAY_MS) / 1_000),
		)
		expect(fleet.maxRefusalMs).toBeLessThan(MAX_REFUSAL_MS)
	})

	it('are used by all boxes again once the limit ends', async () => {
		fleet = new NoticeFleet(ALL_LIMITED, { boxCount: BOXES, arePeersConnected: true })
		await fleet.start()
		await fleet.sendRequests(ROUTES, 2_000)
		fleet.setResponses({})
		await fleet.sendRequests(ROUTES, 3_000)
		expect(fleet.failuresAfter(3_500)).toBe(0)
	})
})
