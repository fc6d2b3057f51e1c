import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { loadOperatorConfig } from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import {
	fetchFromRouter,
	fetchStatuses,
	requireRouters,
	type NoticedTarget,
} from '../routerStatus.js'

/** Adds the `stallwing status` and `stallwing explain` commands. */
export function addStatusCommands(program: Command, config: () => string): void {
	program
		.command('status')
		.description('show the routers, their zones and versions')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => showStatus(config(), options.json === true))
	program
		.command('explain')
		.description('show the log events of a request: where and why it ran, or why it was refused')
		.argument('<request-id>', 'value of the stallwing-request-id header')
		.option('--json', 'print JSON')
		.action((request: string, options: { json?: boolean }) =>
			explainRequest(config(), request, options.json === true),
		)
}

async function showStatus(file: string, json: boolean): Promise<void> {
	const urls = requireRouters(loadOperatorConfig(file).routers)
	const statuses = await fetchStatuses(urls)
	if (json) {
		printJson(statuses.map((row, i) => row ?? { url: urls[i], ready: false, answered: false }))
		return
	}
	const rows = statuses.map((row, i) => {
		if (!row) return [urls[i] ?? '', '', 'no answer', '', '', '', '', '', '']
		const state = row.ready ? 'ready' : 'not ready'
		const cordons = (row.cordonedZones ?? []).map(({ zone }) => zone).join(' ')
		if (row.configuration !== undefined) {
			const version = `${row.configuration}`
			const noticed = (row.noticedTargets ?? []).map(describeNoticed).join(' ')
			return [row.box, row.zone, state, 'gateway', '', version, '', cordons, noticed]
		}
		const role = row.keeper ? 'keeper' : ''
		const platform = row.platformUp ? 'up' : 'down'
		return [
			row.box,
			row.zone,
			state,
			role,
			`${row.view}`,
			`${row.bundleVersion}`,
			platform,
			cordons,
			'',
		]
	})
	const titles = ['box', 'zone', 'state', 'role', 'view', 'version', 'platform', 'cordoned']
	printTable([...titles, 'left alone'], rows)
}

/** Formats what a target asked for: no work because it leaves, a backoff or a rate limit. */
function describeNoticed({ target, leavingForMs, backoffMs, rate }: NoticedTarget): string {
	if (leavingForMs !== undefined) return `${target}(leaves)`
	if (backoffMs > 0 || !rate) return `${target}(${Math.round(backoffMs)}ms)`
	return `${target}(${rate.perSecond}/s, ${rate.share.perSecond.toFixed(2)}/s here)`
}

async function explainRequest(file: string, request: string, json: boolean): Promise<void> {
	const urls = requireRouters(loadOperatorConfig(file).routers)
	const path = `/explain?request=${encodeURIComponent(request)}`
	const responses = await Promise.all(
		urls.map((url) => fetchFromRouter<Record<string, unknown>[]>(`${url}${path}`)),
	)
	const lines = responses.flatMap((response) => response ?? [])
	lines.sort((a, b) => String(a.time).localeCompare(String(b.time)))
	if (lines.length === 0)
		throw new CommandError(EXIT_CODES.conflict, `no router has log lines about request ${request}`)
	if (json) {
		printJson(lines)
		return
	}
	for (const { time, event, name, box, zone, ...rest } of lines) {
		delete rest.request
		const details = Object.entries(rest).map(([key, value]) => `${key}=${String(value)}`)
		print(
			`${String(time)} ${String(zone)}/${String(box)} ${String(event)} ${String(name)} ${details.join(' ')}`,
		)
	}
}
