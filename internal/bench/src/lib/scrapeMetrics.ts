import type { FleetRouter } from '@stallwing/demo'

/** Metrics of one router at one moment, by name with labels. */
export type MetricValues = ReadonlyMap<string, number>

/** Reads a router's metrics. */
export async function scrapeMetrics(router: FleetRouter): Promise<MetricValues> {
	const text = await (await fetch(`${router.url}/metrics`)).text()
	const values = new Map<string, number>()
	for (const line of text.split('\n')) {
		const at = line.lastIndexOf(' ')
		if (at > 0) values.set(line.slice(0, at), Number(line.slice(at + 1)))
	}
	return values
}

/** Sum of all metrics whose name starts with a prefix. */
export function sumByPrefix(values: MetricValues, prefix: string): number {
	let sum = 0
	for (const [name, value] of values) if (name.startsWith(prefix)) sum += value
	return sum
}

/** Growth of a sum between two scrapes. */
export function increaseByPrefix(
	before: MetricValues,
	after: MetricValues,
	prefix: string,
): number {
	return sumByPrefix(after, prefix) - sumByPrefix(before, prefix)
}
