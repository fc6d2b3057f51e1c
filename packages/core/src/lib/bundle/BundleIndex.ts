import type { AccountName, BudgetName, TargetName, ZoneName } from '../ids.js'
import { shardOf } from '../money/BudgetShard.js'
import type {
	AccountRecord,
	BudgetRecord,
	Bundle,
	ModelRecord,
	ServiceRecord,
	TargetRecord,
} from './Bundle.js'

/** A bundle, indexed by name and by key hash. Built once per version. @public */
export class BundleIndex {
	readonly zones: readonly ZoneName[]
	private readonly accountsByKey = new Map<string, AccountRecord>()
	private readonly accounts = new Map<AccountName, AccountRecord>()
	private readonly models = new Map<string, ModelRecord>()
	private readonly services = new Map<string, ServiceRecord>()
	private readonly budgets = new Map<BudgetName, BudgetRecord>()
	private readonly targets = new Map<TargetName, TargetRecord>()

	constructor(readonly bundle: Bundle) {
		this.zones = bundle.zones.map((zone) => zone.name)
		for (const account of bundle.accounts) this.addAccount(account)
		for (const model of bundle.models) this.models.set(model.name, model)
		for (const service of bundle.services) this.services.set(service.name, service)
		for (const budget of bundle.budgets) this.budgets.set(budget.name, budget)
		for (const target of bundle.targets) this.targets.set(target.name, target)
	}

	accountByKeyHash(hash: string): AccountRecord | undefined {
		return this.accountsByKey.get(hash)
	}

	account(name: AccountName): AccountRecord | undefined {
		return this.accounts.get(name)
	}

	model(name: string): ModelRecord | undefined {
		return this.models.get(name)
	}

	service(name: string): ServiceRecord | undefined {
		return this.services.get(name)
	}

	budget(name: BudgetName): BudgetRecord | undefined {
		return this.budgets.get(name)
	}

	target(name: TargetName): TargetRecord | undefined {
		return this.targets.get(name)
	}

	/** Targets of a zone, in bundle order. */
	targetsOf(zone: ZoneName): TargetRecord[] {
		return this.bundle.targets.filter((target) => target.zone === zone)
	}

	/** Number of the shard that holds a budget. */
	shardOf(budget: BudgetName): number {
		return shardOf(budget, this.bundle.policy.shardCount)
	}

	private addAccount(account: AccountRecord): void {
		this.accounts.set(account.name, account)
		for (const hash of account.keyHashes) this.accountsByKey.set(hash, account)
	}
}
