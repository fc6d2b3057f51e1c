/** Names of headers as stand-ins for callers and targets spell them, lower case. @public */
export const STANDIN_HEADERS = {
	requestId: 'request-id',
	deadline: 'deadline-ms',
	account: 'account',
	expectedTarget: 'expected-target',
	rank: 'rank',
	lastEvent: 'last-event-id',
	mark: 'target-mark',
	notRun: 'not-run',
	load: 'load',
	coldMs: 'cold-ms',
	leaving: { header: 'leaving', value: 'yes' },
	requestRate: 'request-rate',
} as const

/** Headers by which stand-ins speak that no program knows. @public */
export const STANDIN_OWN_HEADER = /^own-/
