import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { loadOperatorConfig } from '../OperatorConfig.js'
import { print, printJson, printTable } from '../print.js'
import {
	fetchStatuses,
	requireRouters,
	type HeldPart,
	type QuarantinedRequest,
} from '../routerStatus.js'
import { requestRelease } from './requestRelease.js'

const MS_PER_SECOND = 1_000

/** Adds the `stallwing quarantine` commands. */
export function addQuarantineCommands(program: Command, config: () => string): void {
	const quarantine = program
		.command('quarantine')
		.description('requests, and parts of prompts, that crash the targets that run them')
	quarantine
		.command('list')
		.description(
			'list quarantined requests and parts with the targets that they crashed and the time left',
		)
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => listQuarantined(config(), options.json === true))
	quarantine
		.command('release')
		.description(
			'allow a request or a part to run again, after the fault that it triggers is fixed',
		)
		.argument('<id>', 'fingerprint or part from `quarantine list` or a log line')
		.action((id: string) => releaseQuarantined(config(), id))
}

async function listQuarantined(file: string, json: boolean): Promise<void> {
	const statuses = await fetchStatuses(requireRouters(loadOperatorConfig(file).routers))
	const byId = new Map<string, QuarantinedRequest | HeldPart>()
	for (const status of statuses) {
		for (const request of status?.quarantined ?? []) byId.set(request.fingerprint, request)
		for (const part of status?.heldParts ?? []) byId.set(part.part, part)
	}
	const held = [...byId.values()].sort((a, b) => a.ageMs - b.ageMs)
	if (json) {
		printJson(held)
		return
	}
	const rows = held.map((entry) => [
		'part' in entry ? 'part' : 'request',
		'part' in entry ? entry.part : entry.fingerprint,
		`${Math.round(entry.ageMs / MS_PER_SECOND)} s ago`,
		`${Math.round(entry.heldMs / MS_PER_SECOND)} s`,
		entry.lives.join(' '),
	])
	printTable(['kind', 'id', 'last target ended', 'held for', 'targets'], rows)
}

/** Sends the release to the first box that answers; that box informs the others. */
async function releaseQuarantined(file: string, id: string): Promise<void> {
	const urls = requireRouters(loadOperatorConfig(file).routers)
	for (const url of urls) {
		const status = await requestRelease(url, '/quarantine/release', 'request', id)
		if (status === undefined) continue
		if (status !== 200) throw new CommandError(EXIT_CODES.conflict, `nothing is held against ${id}`)
		print(`released ${id}`)
		return
	}
	throw new CommandError(EXIT_CODES.unavailable, 'no router answers')
}
