import { describe, expect, it } from 'vitest'
import { brandId, type AccountName, type RouteName, type ServiceName } from '../ids.js'
import type { Route, TrafficConfig } from './TrafficConfig.js'
import { TrafficIndex } from './TrafficIndex.js'

function route(name: string, pathPrefix: string, rank = 0): Route {
	return {
		name: brandId<RouteName>(name),
		host: 'a.example',
		pathPrefix,
		kind: 'once',
		resumable: false,
		timeoutMs: 1_000,
		latencyGoalMs: 100,
		eventGapGoalMs: undefined,
		rank,
		shares: [
			{ service: brandId<ServiceName>('s1'), weight: 90 },
			{ service: brandId<ServiceName>('s2'), weight: 10 },
		],
		maxAttempts: 1,
		isPublic: false,
		requiresDeclaredWork: false,
		regions: undefined,
	}
}

const CONFIG: TrafficConfig = {
	version: 1,
	routes: [route('short', '/a/', 2), route('long', '/a/b/'), route('root', '/')],
	services: [],
	accounts: [
		{
			name: brandId<AccountName>('acme'),
			keys: ['k1', 'k2'],
			rank: 1,
			tokenBudget: 10,
			regions: undefined,
		},
	],
	limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
}

describe('TrafficIndex', () => {
	const index = new TrafficIndex(CONFIG)

	it('picks the route with the longest matching prefix', () => {
		expect(index.routeOf('a.example', '/a/b/c')?.name).toBe('long')
		expect(index.routeOf('a.example', '/a/x')?.name).toBe('short')
		expect(index.routeOf('a.example', '/ab')?.name).toBe('root')
		expect(index.routeOf('b.example', '/a/')).toBeUndefined()
	})

	it('finds an account by each of its keys', () => {
		expect(index.accountOfKey('k2')?.name).toBe('acme')
		expect(index.accountOfKey('k3')).toBeUndefined()
	})

	it('ranks accounts before routes', () => {
		const acme = index.accountOfKey('k1')
		expect(index.rankOf(route('r', '/', 0), acme)).toBeGreaterThan(
			index.rankOf(route('r', '/', 2), { ...acme!, rank: 0 }),
		)
	})

	it('splits requests by weight, and always chooses the same service for one request', () => {
		const split = route('r', '/')
		const services = Array.from({ length: 2_000 }, (_, i) => index.serviceOf(split, `request-${i}`))
		const second = services.filter((service) => service === 's2').length
		expect(second).toBeGreaterThan(120)
		expect(second).toBeLessThan(280)
		expect(index.serviceOf(split, 'request-1')).toBe(services[1])
	})
})
