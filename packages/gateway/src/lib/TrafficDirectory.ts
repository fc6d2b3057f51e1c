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

/** What a {@link TrafficDirectory} works with. */
export interface TrafficDirectoryOptions {
	/** Key of the configuration in the store. */
	readonly key: string
	readonly readConfig: StoreLayout['readConfig']
	/** A newer configuration is in force from now on. */
	readonly onTraffic: (traffic: ActiveTraffic, tokens: TokenBudgets) => void
	/** Steady clock, in ms. */
	readonly now: () => number
	readonly log: (event: LogEvent) => void
}

/**
 * Takes the configuration from the store; never an older one than before. Within an era of the store the newest
 * revision is the newest configuration. A store that came back from a copy may show one that had been replaced, until
 * the operator has written again what was lost: its version tells, and what is in force stays meanwhile.
 */
export class TrafficDirectory {
	private revision = NO_REVISION
	/** Version in force; undefined before the first. */
	private version: number | undefined
	/** A configuration that is not taken is read and logged once, not with each change beside it. */
	private rejectedRevision = NO_REVISION

	constructor(private readonly options: TrafficDirectoryOptions) {}

	/** Takes all items below the prefix of the configuration. */
	applyItems(items: ReadonlyMap<string, StoreItem>): void {
		const item = items.get(this.options.key)
		if (!item || !isNewerRevision(item.revision, this.revision)) return
		if (!isSameRevision(item.revision, this.rejectedRevision)) this.applyItem(item)
	}

	/** A configuration that can't be read is left out: the last one stays in force. */
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
		const isOtherEra = revision.era !== this.revision.era
		if (this.version !== undefined && isOtherEra && version < this.version) {
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
		this.logInForce(traffic, tokens)
	}

	private logInForce({ index, revision }: ActiveTraffic, tokens: TokenBudgets): void {
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
