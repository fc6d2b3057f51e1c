import {
	brandId,
	type AccountName,
	type RegionName,
	type RouteName,
	type ServiceName,
	type TrafficConfig,
} from '@stallwing/core'
import { STANDIN_HEALTH_PATH } from '@stallwing/standins'

/** The only service of the configuration. */
export const TEST_SERVICE = brandId<ServiceName>('service')

/** Path of the health check of the test targets. */
export const TEST_HEALTH_PATH = STANDIN_HEALTH_PATH

/** For tests: a configuration with one route of each kind and one account. */
export function trafficConfigOf(version: number): TrafficConfig {
	const route = {
		host: 'a.example',
		timeoutMs: 20_000,
		latencyGoalMs: 1_000,
		eventGapGoalMs: undefined,
		rank: 0,
		shares: [{ service: TEST_SERVICE, weight: 1 }],
		maxAttempts: 2,
		isPublic: false,
		requiresDeclaredWork: false,
		regions: undefined,
	}
	return {
		version,
		routes: [
			{ ...route, name: routeName('once'), pathPrefix: '/once/', kind: 'once', resumable: false },
			{
				...route,
				name: routeName('again'),
				pathPrefix: '/again/',
				kind: 'repeatable',
				resumable: false,
			},
			{
				...route,
				name: routeName('home'),
				pathPrefix: '/home/',
				kind: 'once',
				resumable: false,
				regions: [brandId<RegionName>('south')],
			},
			{
				...route,
				name: routeName('stream'),
				pathPrefix: '/stream/',
				kind: 'stream',
				resumable: false,
			},
			{
				...route,
				name: routeName('resume'),
				pathPrefix: '/resume/',
				kind: 'stream',
				resumable: true,
			},
		],
		services: [
			{
				name: TEST_SERVICE,
				maxConnections: 100,
				healthPath: TEST_HEALTH_PATH,
				tokensPerEvent: undefined,
				coldStart: undefined,
			},
		],
		accounts: [
			{
				name: brandId<AccountName>('acme'),
				keys: ['key'],
				rank: 0,
				tokenBudget: 100,
				regions: undefined,
			},
		],
		limits: {
			maxHeaderBytes: 16_384,
			maxBodyBytes: 1_000,
			headerTimeoutMs: 5_000,
			idleTimeoutMs: 5_000,
		},
	}
}

function routeName(text: string): RouteName {
	return brandId<RouteName>(text)
}
