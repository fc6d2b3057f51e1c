import { createReadStream, writeFileSync } from 'node:fs'
import type { Readable } from 'node:stream'
import { createInterface } from 'node:readline'
import type { Command } from 'commander'
import { CommandError, EXIT } from '../CommandError.js'
import { print, printJson, printTable } from '../print.js'
import {
	LOSS_GROUPS,
	LossLedger,
	lostIn,
	sortedCauses,
	type LossReport,
} from '../losses/LossLedger.js'
import { renderLossChart } from '../losses/renderLossChart.js'

/** Rows of a table by route, account, zone or box that are printed at most. */
const MOST_ROWS = 12
/** Causes that are named in a row. */
const MOST_CAUSES = 4

interface LossesOptions {
	readonly json?: boolean
	readonly svg?: string
}

/** Adds `stallwing losses`. */
export function addLossesCommand(program: Command): void {
	program
		.command('losses')
		.description("what became of each request, from the boxes' log lines")
		.argument('[files...]', 'log files; standard input where none is named')
		.option('--json', 'print JSON')
		.option('--svg <file>', 'write a chart of losses in time')
		.action((files: string[], options: LossesOptions) => losses(files, options))
}

async function losses(files: readonly string[], options: LossesOptions): Promise<void> {
	const ledger = new LossLedger()
	if (files.length === 0) await readInto(ledger, process.stdin, 'standard input')
	for (const file of files) await readInto(ledger, createReadStream(file), file)
	const report = ledger.report()
	if (options.svg !== undefined) writeChart(options.svg, report)
	if (options.json) printJson(toDocument(report))
	else printReport(report)
}

async function readInto(ledger: LossLedger, input: Readable, name: string): Promise<void> {
	try {
		for await (const line of createInterface({ input, crlfDelay: Infinity })) ledger.add(line)
	} catch (error) {
		throw new CommandError(EXIT.usage, `cannot read ${name}: ${String(error)}`)
	}
}

function writeChart(file: string, report: LossReport): void {
	try {
		writeFileSync(file, renderLossChart(report))
	} catch (error) {
		throw new CommandError(EXIT.usage, `cannot write ${file}: ${String(error)}`)
	}
}

function printReport(report: LossReport): void {
	const { requests, repeated, foreignLines } = report
	print(`${requests} requests, ${repeated} sent to several targets, ${foreignLines} other lines`)
	const share = (count: number): string => `${((100 * count) / Math.max(1, requests)).toFixed(1)} %`
	printTable(
		['cause', 'requests', 'share'],
		report.causes.map(([cause, count]) => [cause, `${count}`, share(count)]),
	)
	for (const group of LOSS_GROUPS) {
		print('')
		const rows = report.groups[group].slice(0, MOST_ROWS).map(([key, counts]) => {
			const named = sortedCauses(counts).filter(([cause]) => cause !== 'in-time')
			const causes = named.slice(0, MOST_CAUSES).map(([cause, count]) => `${cause} ${count}`)
			return [key === '' ? '-' : key, `${lostIn(counts)}`, causes.join(', ')]
		})
		printTable([group, 'lost', 'largest causes'], rows)
	}
}

function toDocument(report: LossReport): unknown {
	return {
		requests: report.requests,
		repeated: report.repeated,
		foreignLines: report.foreignLines,
		causes: Object.fromEntries(report.causes),
		groups: Object.fromEntries(
			LOSS_GROUPS.map((group) => [
				group,
				Object.fromEntries(
					report.groups[group].map(([key, counts]) => [key, Object.fromEntries(counts)]),
				),
			]),
		),
		seconds: report.seconds.map((counts) => Object.fromEntries(counts)),
	}
}
