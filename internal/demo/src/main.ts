/** The demo: a small fleet of real processes, a few requests of each kind, a short report. */
import { writeFileSync } from 'node:fs'
import { DemoFleet, readyDocument } from './lib/DemoFleet.js'
import { runDemoCalls } from './lib/demoRequests.js'

const args = process.argv.slice(2)
const stay = args.includes('--stay')
const readyFile = args.includes('--ready-file') ? args[args.indexOf('--ready-file') + 1] : undefined

// A reader that closes the pipe early must not leave processes behind.
process.stdout.on('error', () => undefined)

const fleet = new DemoFleet()
try {
	await fleet.start()
	if (stay) await stayUp()
	else await report()
} finally {
	await fleet.stop()
}

async function stayUp(): Promise<void> {
	const document = JSON.stringify(readyDocument(fleet), null, '\t')
	if (readyFile) writeFileSync(readyFile, document)
	else process.stdout.write(`${document}\n`)
	await new Promise<void>((resolve) => {
		process.on('SIGTERM', resolve)
		process.on('SIGINT', resolve)
	})
}

async function report(): Promise<void> {
	const results = await runDemoCalls(fleet)
	process.stdout.write('\nRequests\n')
	for (const { label: what, status, runState: run, durationMs: ms, summary: note } of results)
		process.stdout.write(
			`  ${what.padEnd(26)} ${status}  run=${run.padEnd(8)} ${String(ms).padStart(5)} ms  ${note}\n`,
		)
	const status = await fleet.runCli('status')
	process.stdout.write(`\nRouters\n${indent(status.out)}`)
	const budgets = await fleet.runCli('budget', 'show')
	process.stdout.write(`\nSpend\n${indent(budgets.out)}`)
	const first = results[0]
	if (!first) return
	const explained = await fleet.runCli('explain', first.requestId)
	process.stdout.write(`\nWhy the first request ran where it ran\n${indent(explained.out)}`)
}

function indent(text: string): string {
	return text.replace(/^(?=.)/gm, '  ')
}
