import { brandId, type Route, type RouteName, type ServiceName } from '@stallwing/core'
import type { CallerRequest } from '../CallerRequest.js'

/** Creates a request of a caller without declared work, with `changes` applied to its route. */
export function gateRequest(id: string, changes: Partial<Route> = {}): CallerRequest {
	return {
		id,
		method: 'GET',
		path: '/',
		route: {
			name: brandId<RouteName>('route'),
			host: 'a.example',
			pathPrefix: '/',
			kind: 'repeatable',
			resumable: false,
			timeoutMs: 5_000,
			latencyGoalMs: 5_000,
			eventGapGoalMs: undefined,
			rank: 0,
			shares: [],
			maxAttempts: 2,
			isPublic: false,
			requiresDeclaredWork: false,
			regions: undefined,
			...changes,
		},
		service: brandId<ServiceName>('service'),
		account: undefined,
		work: undefined,
		rank: 0,
		deadlineMs: undefined,
		lastEventId: undefined,
		resumedRequest: undefined,
		headers: [],
	}
}
