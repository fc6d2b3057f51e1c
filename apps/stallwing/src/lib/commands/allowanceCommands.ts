import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { loadOperatorConfig } from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import { fetchStatuses, requireRouters } from '../routerStatus.js'
import { requestRelease } from './requestRelease.js'

const HTTP_OK = 200
const HTTP_NOT_FOUND = 404

/** Adds the `stallwing allowance` commands. */
export function addAllowanceCommands(program: Command, config: () => string): void {
	const allowance = program
		.command('allowance')
		.description('tokens that are withheld since the store was restored from a backup')
	allowance
		.command('list')
		.description('list the accounts of which tokens are withheld')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => listWithheld(config(), options.json === true))
	allowance
		.command('release')
		.description('make the withheld tokens of an account available, if they were not spent')
		.argument('<account>', 'account from `allowance list` or a log line')
		.action((account: string) => releaseTokens(config(), account))
}

async function listWithheld(file: string, json: boolean): Promise<void> {
	const statuses = await fetchStatuses(requireRouters(loadOperatorConfig(file).routers))
	const tokensByAccount = new Map<string, number>()
	for (const status of statuses) {
		for (const { account, tokens } of status?.withheldTokens ?? [])
			tokensByAccount.set(account, Math.max(tokens, tokensByAccount.get(account) ?? 0))
	}
	const withheld = [...tokensByAccount].map(([account, tokens]) => ({ account, tokens }))
	if (json) printJson(withheld)
	else
		printTable(
			['account', 'tokens withheld'],
			withheld.map(({ account, tokens }) => [account, String(tokens)]),
		)
}

/** Sends the release to the first router that answers and reaches the store; the store informs the others. */
async function releaseTokens(file: string, account: string): Promise<void> {
	for (const url of requireRouters(loadOperatorConfig(file).routers)) {
		const status = await requestRelease(url, '/allowance/release', 'account', account)
		if (status === HTTP_NOT_FOUND)
			throw new CommandError(EXIT_CODES.conflict, `nothing is withheld of ${account}`)
		if (status !== HTTP_OK) continue
		print(`released ${account}`)
		return
	}
	throw new CommandError(EXIT_CODES.unavailable, 'no router answers, or none reaches the store')
}
