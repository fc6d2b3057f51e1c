import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { loadOperatorConfig } from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import { fetchStatuses, requireRouters, type QuarantinedRequest } from '../routerStatus.js'

const RELEASE_TIMEOUT_MS = 1_000
const MS_PER_SECOND = 1_000

/** Adds the `stallwing quarantine` commands. */
export function addQuarantineCommands(program: Command, config: () => string): void {
	const quarantine = program
		.command('quarantine')
		.description('requests that crash the targets that run them')
	quarantine
		.command('list')
		.description('list quarantined requests with the targets that they crashed and the time left')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => listQuarantined(config(), options.json === true))
	quarantine
		.command('release')
		.description('allow a request to run again, after the fault that it triggers is fixed')
		.argument('<fingerprint>', 'fingerprint from `quarantine list` or a log line')
		.action((fingerprint: string) => releaseQuarantined(config(), fingerprint))
}

async function listQuarantined(file: string, json: boolean): Promise<void> {
	const statuses = await fetchStatuses(requireRouters(loadOperatorConfig(file).routers))
	const byFingerprint = new Map<string, QuarantinedRequest>()
	for (const status of statuses)
		for (const request of status?.quarantined ?? []) byFingerprint.set(request.fingerprint, request)
	const requests = [...byFingerprint.values()].sort((a, b) => a.ageMs - b.ageMs)
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

/** Sends the release to the first box that answers; that box informs the others. */
async function releaseQuarantined(file: string, fingerprint: string): Promise<void> {
	const urls = requireRouters(loadOperatorConfig(file).routers)
	for (const url of urls) {
		const status = await requestRelease(url, fingerprint)
		if (status === undefined) continue
		if (status !== 200)
			throw new CommandError(EXIT_CODES.conflict, `request ${fingerprint} has no crash record`)
		print(`released ${fingerprint}`)
		return
	}
	throw new CommandError(EXIT_CODES.unavailable, 'no router answers')
}

/** Returns the HTTP status, or undefined if the box does not answer. */
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
