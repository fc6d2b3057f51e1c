import {
	NO_REVISION,
	TrafficIndex,
	describeRevision,
	isNewerRevision,
	isSameRevision,
	type AccountName,
	type LogEvent,
} from '@stallwing/core'
import type { StoreItem } from '@stallwing/store'
import * as E from 'fp-ts/lib/Either.js'
import type { StoreLayout } from './StoreLayout.js'
import type { ActiveTraffic } from './GatewayContext.js'

/** Token budgets by account. */
export type TokenBudgets = Readonly<Record<AccountName, number>>

/** Dependencies of a {@link TrafficDirectory}. */
export interface TrafficDirectoryOptions {
	/** Key of the configuration in the store. */
	readonly key: string
	readonly readConfig: StoreLayout['readConfig']
	/** Called when a newer configuration becomes active. */
	readonly onTraffic: (traffic: ActiveTraffic, tokens: TokenBudgets) => void
	/** Monotonic clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Applies the configuration from the store and never reverts to an older one. Within an era of the store, a higher
 * revision is a newer configuration. After a restore from a backup, the store may hold a lower version than the active
 * one, which stays active until the operator writes it again or a newer one.
 */
export class TrafficDirectory {
	private revision = NO_REVISION
	/** Active version; undefined before the first configuration. */
	private version: number | undefined
	/** Revision of the last configuration that was not applied, so that it is parsed and logged only once. */
	private rejectedRevision = NO_REVISION

	constructor(private readonly options: TrafficDirectoryOptions) {}

	/** Applies the configuration from all items below its prefix. */
	applyItems(items: ReadonlyMap<string, StoreItem>): void {
		const item = items.get(this.options.key)
		if (!item || !isNewerRevision(item.revision, this.revision)) return
		if (!isSameRevision(item.revision, this.rejectedRevision)) this.applyItem(item)
	}

	/** Applies the configuration of an item. If it cannot be read, the last one stays active. */
	private applyItem({ revision, value }: StoreItem): void {
		const { log, now, onTraffic, readConfig } = this.options
		const read = readConfig(value)
		if (E.isLeft(read)) {
			this.rejectedRevision = revision
			log({
				name: 'traffic-refused',
				fields: { revision: describeRevision(revision), what: read.left.what },
			})
			return
		}
		const { version } = read.right
		const isNewEra = revision.era !== this.revision.era
		if (this.version !== undefined && isNewEra && version < this.version) {
			this.rejectedRevision = revision
			const fields = { revision: describeRevision(revision), version, inForce: this.version }
			log({ name: 'traffic-held', fields })
			return
		}
		this.revision = revision
		this.version = version
		const traffic = { index: new TrafficIndex(read.right), revision, since: now() }
		const tokens = budgetsOf(traffic)
		onTraffic(traffic, tokens)
		this.logApplied(traffic, tokens)
	}

	private logApplied({ index, revision }: ActiveTraffic, tokens: TokenBudgets): void {
		const { accounts, routes, version } = index.config
		const budgets = Object.entries<number>(tokens)
			.map(([account, budget]) => `${account}:${budget}`)
			.join(' ')
		this.options.log({
			name: 'traffic-in-force',
			fields: {
				version,
				revision: describeRevision(revision),
				routes: routes.length,
				accounts: accounts?.length ?? 0,
				budgets,
			},
		})
	}
}

function budgetsOf({ index }: ActiveTraffic): TokenBudgets {
	const tokens: Record<AccountName, number> = {}
	for (const account of index.config.accounts ?? []) {
		if (account.tokenBudget !== undefined) tokens[account.name] = account.tokenBudget
	}
	return tokens
}
