/**
 * Demo: starts a small fleet of real processes, sends a few requests of each kind and prints a report.
 * With `--stay` it keeps the fleet running until SIGTERM or SIGINT.
 */
import { writeFileSync } from 'node:fs'
import { DemoFleet, readyDocument } from './lib/DemoFleet.js'
import { runDemoCalls } from './lib/demoRequests.js'

const args = process.argv.slice(2)
const keepsRunning = args.includes('--stay')
const readyFile = args.includes('--ready-file') ? args[args.indexOf('--ready-file') + 1] : undefined

// A closed pipe must not end the demo before it has stopped its processes.
process.stdout.on('error', () => undefined)

const fleet = new DemoFleet()
try {
	await fleet.start()
	if (keepsRunning) await runUntilSignal()
	else await printReport()
} finally {
	await fleet.stop()
}

async function runUntilSignal(): Promise<void> {
	const document = JSON.stringify(readyDocument(fleet), null, '\t')
	if (readyFile) writeFileSync(readyFile, document)
	else process.stdout.write(`${document}\n`)
	await new Promise<void>((resolve) => {
		process.on('SIGTERM', resolve)
		process.on('SIGINT', resolve)
	})
}

async function printReport(): Promise<void> {
	const results = await runDemoCalls(fleet)
	process.stdout.write('\nRequests\n')
	for (const { label, status, runState, durationMs, summary } of results)
		process.stdout.write(
			`  ${label.padEnd(26)} ${status}  run=${runState.padEnd(8)} ${String(durationMs).padStart(5)} ms  ${summary}\n`,
		)
	const status = await fleet.runCli('status')
	process.stdout.write(`\nRouters\n${indent(status.out)}`)
	const budgets = await fleet.runCli('budget', 'show')
	process.stdout.write(`\nSpend\n${indent(budgets.out)}`)
	const firstResult = results[0]
	if (!firstResult) return
	const explained = await fleet.runCli('explain', firstResult.requestId)
	process.stdout.write(`\nWhy the first request ran where it ran\n${indent(explained.out)}`)
}

function indent(text: string): string {
	return text.replace(/^(?=.)/gm, '  ')
}
