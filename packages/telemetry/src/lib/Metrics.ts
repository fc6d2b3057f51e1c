import { build, type Histogram } from 'hdr-histogram-js'

const MAX_DURATION_MS = 600_000
const PERCENTILES = [50, 90, 99, 99.9]

/** Counters and latency histograms, rendered in the Prometheus text format. @public */
export class Metrics {
	private readonly counters = new Map<string, number>()
	private readonly histograms = new Map<string, Histogram>()

	/** Adds to a counter. `labels` is Prometheus label text, such as `kind="log"`. */
	count(name: string, labels = '', amount = 1): void {
		const key = labels === '' ? name : `${name}{${labels}}`
		this.counters.set(key, (this.counters.get(key) ?? 0) + amount)
	}

	/** Adds a duration in ms, clamped to 10 minutes, to a histogram. */
	recordDuration(name: string, ms: number): void {
		let histogram = this.histograms.get(name)
		if (!histogram) {
			histogram = build({
				highestTrackableValue: MAX_DURATION_MS,
				numberOfSignificantValueDigits: 2,
			})
			this.histograms.set(name, histogram)
		}
		histogram.recordValue(Math.min(MAX_DURATION_MS, Math.max(0, Math.round(ms))))
	}

	/** Renders all counters and histograms, and the given gauges. */
	render(gauges: Readonly<Record<string, number>>): string {
		const lines: string[] = []
		for (const [name, value] of this.counters) lines.push(`${name} ${value}`)
		for (const [name, value] of Object.entries(gauges)) lines.push(`${name} ${value}`)
		for (const [name, histogram] of this.histograms) {
			for (const percentile of PERCENTILES) {
				const value = histogram.getValueAtPercentile(percentile)
				lines.push(`${name}{quantile="${percentile / 100}"} ${value}`)
			}
			lines.push(`${name}_count ${histogram.totalCount}`)
		}
		return `${lines.sort().join('\n')}\n`
	}
}
