import { fnv1a } from '../fnv1a.js'
import type { AccountName, ServiceName } from '../ids.js'
import type { ColdStart } from '../placement/coldRateLimit.js'
import type { Account, Route, Service, TrafficConfig } from './TrafficConfig.js'

/** A {@link TrafficConfig} with lookup tables. @public */
export class TrafficIndex {
	private readonly routesByHost = new Map<string, Route[]>()
	private readonly accountsByKey = new Map<string, Account>()
	private readonly accountsByName = new Map<AccountName, Account>()
	private readonly servicesByName: ReadonlyMap<ServiceName, Service>
	private readonly maxRouteRank: number
	private readonly maxAccountRank: number

	constructor(readonly config: TrafficConfig) {
		for (const route of config.routes) this.addRoute(route)
		for (const routes of this.routesByHost.values()) routes.sort(byLongestPrefix)
		for (const account of config.accounts ?? []) this.addAccount(account)
		this.servicesByName = new Map(config.services.map((service) => [service.name, service]))
		this.maxRouteRank = Math.max(0, ...config.routes.map((route) => route.rank))
		this.maxAccountRank = Math.max(0, ...(config.accounts ?? []).map(({ rank }) => rank))
	}

	/** True if requests must carry the key of an account. */
	get requiresKeys(): boolean {
		return this.config.accounts !== undefined
	}

	/** The route of the host with the longest matching path prefix. */
	routeOf(host: string, path: string): Route | undefined {
		return this.routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix))
	}

	accountOfKey(key: string): Account | undefined {
		return this.accountsByKey.get(key)
	}

	account(name: AccountName): Account | undefined {
		return this.accountsByName.get(name)
	}

	service(name: ServiceName): Service | undefined {
		return this.servicesByName.get(name)
	}

	/** Request limits of targets after a start, by service. Services without such limits are left out. */
	get coldStarts(): ReadonlyMap<ServiceName, ColdStart> {
		const coldStarts = new Map<ServiceName, ColdStart>()
		for (const { name, coldStart } of this.config.services)
			if (coldStart) coldStarts.set(name, coldStart)
		return coldStarts
	}

	/** Chooses the service of a request by the weights of the route; the same for every attempt of one request. */
	serviceOf(route: Route, requestId: string): ServiceName {
		const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
		const first = route.shares[0]
		if (!first) throw new RangeError(`route ${route.name} has no service`)
		if (total <= 0) return first.service
		let point = (fnv1a(requestId) / 2 ** 32) * total
		for (const share of route.shares) {
			point -= share.weight
			if (point < 0) return share.service
		}
		return first.service
	}

	/** The largest rank that {@link rankOf} returns. */
	get leastUrgentRank(): number {
		return this.maxAccountRank * (this.maxRouteRank + 1) + this.maxRouteRank
	}

	/** Combines both ranks; the rank of the account takes precedence. */
	rankOf(route: Route, account: Account | undefined): number {
		return (account?.rank ?? 0) * (this.maxRouteRank + 1) + route.rank
	}

	private addRoute(route: Route): void {
		const routes = this.routesByHost.get(route.host)
		if (routes) routes.push(route)
		else this.routesByHost.set(route.host, [route])
	}

	private addAccount(account: Account): void {
		this.accountsByName.set(account.name, account)
		for (const key of account.keys) this.accountsByKey.set(key, account)
	}
}

function byLongestPrefix(a: Route, b: Route): number {
	return b.pathPrefix.length - a.pathPrefix.length
}
