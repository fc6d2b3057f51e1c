import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { loadOperatorConfig } from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import { fetchStatuses, requireRouters, type QuarantinedRequest } from '../routerStatus.js'

/** Time that a box has to answer, in ms. */
const RELEASE_TIMEOUT_MS = 1_000
const MS_PER_SECOND = 1_000

/** Adds `stallwing quarantine list` and `stallwing quarantine release`. */
export function addQuarantineCommands(program: Command, config: () => string): void {
	const quarantine = program
		.command('quarantine')
		.description('requests that end the targets that run them')
	quarantine
		.command('list')
		.description('the quarantined requests, the targets that ended under them, and for how long')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => listQuarantined(config(), options.json === true))
	quarantine
		.command('release')
		.description('let a request run again, once what it ended is repaired')
		.argument('<fingerprint>', 'as `quarantine list` and the log lines show it')
		.action((fingerprint: string) => releaseQuarantined(config(), fingerprint))
}

async function listQuarantined(file: string, json: boolean): Promise<void> {
	const statuses = await fetchStatuses(requireRouters(loadOperatorConfig(file).routers))
	const known = new Map<string, QuarantinedRequest>()
	for (const status of statuses)
		for (const request of status?.quarantined ?? []) known.set(request.fingerprint, request)
	const requests = [...known.values()].sort((a, b) => a.ageMs - b.ageMs)
	if (json) {
		printJson(requests)
		return
	}
	const rows = requests.map(({ ageMs, fingerprint, heldMs, lives }) => [
		fingerprint,
		`${Math.round(ageMs / MS_PER_SECOND)} s ago`,
		`${Math.round(heldMs / MS_PER_SECOND)} s`,
		lives.join(' '),
	])
	printTable(['request', 'last target ended', 'held for', 'targets'], rows)
}

/** One box is told; it tells the others. */
async function releaseQuarantined(file: string, fingerprint: string): Promise<void> {
	const urls = requireRouters(loadOperatorConfig(file).routers)
	for (const url of urls) {
		const status = await requestRelease(url, fingerprint)
		if (status === undefined) continue
		if (status !== 200)
			throw new CommandError(
				EXIT_CODES.conflict,
				`nothing is held against a request ${fingerprint}`,
			)
		print(`released ${fingerprint}`)
		return
	}
	throw new CommandError(EXIT_CODES.unavailable, 'no router answers')
}

/** Status of the answer; undefined without one. */
async function requestRelease(url: string, fingerprint: string): Promise<number | undefined> {
	try {
		const path = `/quarantine/release?request=${encodeURIComponent(fingerprint)}`
		const reply = await fetch(`${url}${path}`, {
			method: 'POST',
			signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
		})
		return reply.status
	} catch {
		return undefined
	}
}
