import { scaleLinear } from 'd3-scale'
import { line } from 'd3-shape'
import type { LossCause } from './LossCause.js'
import type { LossReport } from './LossCounter.js'

const WIDTH = 1_000
const HEIGHT = 420
const MARGIN = { left: 50, right: 230, top: 20, bottom: 40 }
/** Maximum number of causes in the chart, one per colour. */
const MAX_CHART_LINES = 8
const COLOURS = [
	'#1f77b4',
	'#d62728',
	'#ff7f0e',
	'#9467bd',
	'#8c564b',
	'#e377c2',
	'#7f7f7f',
	'#17becf',
]
const AXIS_TICK_COUNT = 8

/** Renders an SVG chart with one line over time for each of the largest causes. */
export function renderLossChart(report: LossReport): string {
	const causes = report.causes
		.map(([cause]) => cause)
		.filter((cause) => cause !== 'in-time')
		.slice(0, MAX_CHART_LINES)
	const highest = Math.max(
		1,
		...report.seconds.flatMap((counts) => causes.map((cause) => counts.get(cause) ?? 0)),
	)
	const x = scaleLinear(
		[0, Math.max(1, report.seconds.length - 1)],
		[MARGIN.left, WIDTH - MARGIN.right],
	)
	const y = scaleLinear([0, highest], [HEIGHT - MARGIN.bottom, MARGIN.top])
	const path = (cause: LossCause): string =>
		line<number>()
			.x((_count, second) => x(second))
			.y((count) => y(count))(report.seconds.map((counts) => counts.get(cause) ?? 0)) ?? ''
	const lines = causes.map((cause, i) => {
		const colour = COLOURS[i] ?? '#000000'
		const label = `<text x="${WIDTH - MARGIN.right + 10}" y="${MARGIN.top + 16 * (i + 1)}" fill="${colour}">${cause}</text>`
		return `<path d="${path(cause)}" fill="none" stroke="${colour}" stroke-width="1.5"/>${label}`
	})
	const xTicks = x
		.ticks(AXIS_TICK_COUNT)
		.map((second) => tickLabel(x(second), HEIGHT - MARGIN.bottom + 18, `${second} s`))
	const yTicks = y
		.ticks(AXIS_TICK_COUNT)
		.map((count) => tickLabel(MARGIN.left - 22, y(count) + 4, `${count}`))
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${HEIGHT}" font-family="sans-serif" font-size="12">`,
		`<rect width="${WIDTH}" height="${HEIGHT}" fill="#ffffff"/>`,
		`<text x="${MARGIN.left}" y="14">requests lost in each second, by cause (${report.requests} requests)</text>`,
		...xTicks,
		...yTicks,
		...lines,
		'</svg>',
		'',
	].join('\n')
}

function tickLabel(x: number, y: number, text: string): string {
	return `<text x="${x.toFixed(1)}" y="${y.toFixed(1)}" text-anchor="middle" fill="#555555">${text}</text>`
}
