import { createReadStream, writeFileSync } from 'node:fs'
import type { Readable } from 'node:stream'
import { createInterface } from 'node:readline'
import type { Command } from 'commander'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { print, printJson, printTable } from '../print.js'
import {
	LOSS_GROUPS,
	LossCounter,
	countLost,
	sortCauses,
	type LossReport,
} from '../losses/LossCounter.js'
import { renderLossChart } from '../losses/renderLossChart.js'

const MAX_ROWS_PER_TABLE = 12
const MAX_CAUSES_PER_ROW = 4

interface LossesOptions {
	readonly json?: boolean
	readonly svg?: string
}

/** Adds the `stallwing losses` command. */
export function addLossesCommand(program: Command): void {
	program
		.command('losses')
		.description("count failed and late requests by cause, from the boxes' log lines")
		.argument('[files...]', 'log files; default: standard input')
		.option('--json', 'print JSON')
		.option('--svg <file>', 'write a chart of losses over time')
		.action((files: string[], options: LossesOptions) => reportLosses(files, options))
}

async function reportLosses(files: readonly string[], options: LossesOptions): Promise<void> {
	const counter = new LossCounter()
	if (files.length === 0) await addLines(counter, process.stdin, 'standard input')
	for (const file of files) await addLines(counter, createReadStream(file), file)
	const report = counter.report()
	if (options.svg !== undefined) writeChart(options.svg, report)
	if (options.json) printJson(toJson(report))
	else printReport(report)
}

async function addLines(counter: LossCounter, input: Readable, name: string): Promise<void> {
	try {
		for await (const line of createInterface({ input, crlfDelay: Infinity })) counter.add(line)
	} catch (error) {
		throw new CommandError(EXIT_CODES.usage, `cannot read ${name}: ${String(error)}`)
	}
}

function writeChart(file: string, report: LossReport): void {
	try {
		writeFileSync(file, renderLossChart(report))
	} catch (error) {
		throw new CommandError(EXIT_CODES.usage, `cannot write ${file}: ${String(error)}`)
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
		const rows = report.groups[group].slice(0, MAX_ROWS_PER_TABLE).map(([key, counts]) => {
			const lossCauses = sortCauses(counts).filter(([cause]) => cause !== 'in-time')
			const causes = lossCauses
				.slice(0, MAX_CAUSES_PER_ROW)
				.map(([cause, count]) => `${cause} ${count}`)
			return [key === '' ? '-' : key, `${countLost(counts)}`, causes.join(', ')]
		})
		printTable([group, 'lost', 'largest causes'], rows)
	}
}

function toJson(report: LossReport): unknown {
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
