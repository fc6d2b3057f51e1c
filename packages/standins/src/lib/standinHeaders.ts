/** Header names that the stand-ins for callers and targets use, in lower case. @public */
export const STANDIN_HEADERS = {
	requestId: 'request-id',
	deadline: 'deadline-ms',
	account: 'account',
	expectedTarget: 'expected-target',
	rank: 'rank',
	lastEvent: 'last-event-id',
	resumedRequest: 'resumed-request',
	signature: 'target-mark',
	instance: 'own-instance',
	notRun: 'not-run',
	load: 'load',
	coldMs: 'cold-ms',
	leaving: { header: 'leaving', value: 'yes' },
	requestRate: 'request-rate',
	rejectionLimit: 'rejection-limit',
} as const

/** Path of the health check of the stand-ins for targets. @public */
export const STANDIN_HEALTH_PATH = '/healthz'

/** Pattern of further headers that belong to the platform of the stand-ins. @public */
export const STANDIN_HEADER_PATTERN = /^own-/
