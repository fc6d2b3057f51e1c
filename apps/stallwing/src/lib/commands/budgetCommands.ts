import { createInterface } from 'node:readline/promises'
import {
	markEntryInDoubt,
	entryKey,
	addSealed,
	releaseEntry,
	shardKey,
	zoneKeys,
	type BoxName,
	type BudgetName,
	type BudgetShardValue,
	type Bundle,
	type Incarnation,
	type ZoneLedgerValue,
} from '@stallwing/core'
import { BundleStore, checkAccepted, signHash, type PlatformClient } from '@stallwing/store'
import type { Command } from 'commander'
import * as E from 'fp-ts/lib/Either.js'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import {
	loadOperatorConfig,
	requireSigner,
	withPlatform,
	type OperatorConfig,
} from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import { fetchStatuses, type RouterStatus } from '../routerStatus.js'

interface BudgetRow {
	readonly account: string
	readonly budget: string
	readonly prepaid: number
	readonly billed: number
	readonly reserved: number
	readonly inDoubt: number
}

interface BudgetTotals {
	billed: number
	reserved: number
	inDoubt: number
}

/** Adds the `stallwing budget` commands. */
export function addBudgetCommands(program: Command, config: () => string): void {
	const budget = program.command('budget').description('prepaid budgets')
	budget
		.command('show')
		.description('show the prepaid, billed, reserved and in-doubt amounts of each budget')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) =>
			showBudgets(loadOperatorConfig(config()), options.json === true),
		)
	budget
		.command('release')
		.description('release the in-doubt amounts of a box whose machine is gone')
		.requiredOption('--zone <zone>', 'availability zone of the box')
		.requiredOption('--box <box>', 'name of the box')
		.requiredOption('--incarnation <id>', 'incarnation of the box that is gone')
		.option('--yes', 'skip the confirmation')
		.action((options: ReleaseOptions) => releaseInDoubt(loadOperatorConfig(config()), options))
}

async function showBudgets(config: OperatorConfig, json: boolean): Promise<void> {
	const rows = await withPlatform(config, async (platform) => {
		const bundle = await loadAcceptedBundle(platform, config)
		const statuses = await fetchStatuses(config.routers)
		return readBudgetRows(platform, bundle, statuses)
	})
	if (json) printJson(rows)
	else
		printTable(
			['account', 'budget', 'prepaid', 'billed', 'reserved', 'in doubt'],
			rows.map((row) => Object.values(row).map(String)),
		)
}

async function loadAcceptedBundle(
	platform: PlatformClient,
	config: OperatorConfig,
): Promise<Bundle> {
	const document = await new BundleStore(platform).accepted()
	const checked = document && checkAccepted(document, config.operators)
	if (!checked || E.isLeft(checked))
		throw new CommandError(EXIT_CODES.conflict, 'no valid version is in force')
	return checked.right
}

async function readBudgetRows(
	platform: PlatformClient,
	bundle: Bundle,
	statuses: readonly (RouterStatus | undefined)[],
): Promise<BudgetRow[]> {
	const totals = new Map<string, BudgetTotals>()
	const prepaid = new Map<string, number>()
	const reported = reportedBudgets(statuses)
	for (let shard = 0; shard < bundle.policy.shardCount; shard++) {
		const stored = await platform.read(shardKey(shard))
		const value = stored?.value as BudgetShardValue | undefined
		for (const [name, row] of Object.entries(value?.budgets ?? {})) prepaid.set(name, row.prepaid)
		for (const zone of bundle.zones) {
			const ledger = await platform.read(zoneKeys.ledger(zone.name, shard))
			addLedgerToTotals(totals, ledger?.value as ZoneLedgerValue | undefined, reported)
		}
	}
	return bundle.accounts.flatMap((account) =>
		account.budgets.map((budget) => ({
			account: account.name,
			budget,
			prepaid: prepaid.get(budget) ?? prepaidOf(bundle, budget),
			...(totals.get(budget) ?? { billed: 0, reserved: 0, inDoubt: 0 }),
		})),
	)
}

function prepaidOf(bundle: Bundle, budget: BudgetName): number {
	return bundle.budgets.find((row) => row.name === budget)?.prepaid ?? 0
}

/** Returns the amounts that running routers report, by `<box>#<incarnation>/<budget>`. */
function reportedBudgets(statuses: readonly (RouterStatus | undefined)[]) {
	const reported = new Map<string, { billed: number; reserved: number }>()
	for (const status of statuses) {
		if (!status) continue
		const key = entryKey(status.box as BoxName, status.incarnation as Incarnation)
		for (const row of status.budgets) reported.set(`${key}/${row.budget}`, row)
	}
	return reported
}

/** Adds a zone ledger to the totals; the counters of a running router are newer than its entry. */
function addLedgerToTotals(
	totals: Map<string, BudgetTotals>,
	ledger: ZoneLedgerValue | undefined,
	reported: ReadonlyMap<string, { billed: number; reserved: number }>,
): void {
	for (const [name, row] of Object.entries(ledger?.budgets ?? {})) {
		const total = totals.get(name) ?? { billed: 0, reserved: 0, inDoubt: 0 }
		totals.set(name, total)
		total.billed += row.closed.billed
		for (const [key, entry] of Object.entries(row.entries)) {
			const current = reported.get(`${key}/${name}`)
			total.billed += Math.max(entry.billed, current?.billed ?? 0)
			total.reserved += current?.reserved ?? 0
			total.inDoubt += entry.inDoubt ?? 0
		}
	}
}

interface ReleaseOptions {
	readonly zone: string
	readonly box: string
	readonly incarnation: string
	readonly yes?: boolean
}

const MAX_CAS_ATTEMPTS = 8

async function releaseInDoubt(config: OperatorConfig, options: ReleaseOptions): Promise<void> {
	const { name, privateKey } = requireSigner(config)
	await confirm(options)
	const key = entryKey(options.box as BoxName, options.incarnation as Incarnation)
	await withPlatform(config, async (platform) => {
		const bundle = await loadAcceptedBundle(platform, config)
		const statement = `release ${options.zone} ${key} ${new Date().toISOString()}`
		const audit = { statement, ...signHash(statement, name, privateKey) }
		await platform.call({
			kind: 'cas',
			key: `audit/${statement}`,
			expected: 0,
			value: audit,
		})
		let released = 0
		for (let shard = 0; shard < bundle.policy.shardCount; shard++)
			released += await releaseInShard(platform, options.zone, shard, key)
		print(`released ${released} budget tokens of ${key}`)
	})
}

async function confirm(options: ReleaseOptions): Promise<void> {
	if (options.yes) return
	const prompt = createInterface({ input: process.stdin, output: process.stderr })
	const question = `Is the machine of ${options.box} really gone? Type its name to continue: `
	const answer = await prompt.question(question)
	prompt.close()
	if (answer.trim() !== options.box) throw new CommandError(EXIT_CODES.usage, 'not confirmed')
}

async function releaseInShard(
	platform: PlatformClient,
	zone: string,
	shard: number,
	key: string,
): Promise<number> {
	const ledgerKey = zoneKeys.ledger(zone as Parameters<typeof zoneKeys.ledger>[0], shard)
	for (let i = 0; i < MAX_CAS_ATTEMPTS; i++) {
		const stored = await platform.read(ledgerKey)
		if (!stored) return 0
		const value = stored.value as ZoneLedgerValue
		let released = 0
		addSealed(value, key)
		for (const row of Object.values(value.budgets)) {
			markEntryInDoubt(row, key)
			released += releaseEntry(row, key)
		}
		const result = await platform.call({
			kind: 'cas',
			key: ledgerKey,
			expected: stored.revision,
			value,
		})
		if (result.kind === 'written') return released
	}
	throw new CommandError(
		EXIT_CODES.unavailable,
		`the ledger of shard ${shard} could not be written`,
	)
}
