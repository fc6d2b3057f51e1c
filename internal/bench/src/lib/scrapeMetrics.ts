import type { FleetRouter } from '@stallwing/demo'

/** Metric values of a router, by name with labels. */
export type MetricValues = ReadonlyMap<string, number>

/** Fetches the metrics of a router. */
export async function scrapeMetrics(router: FleetRouter): Promise<MetricValues> {
	const text = await (await fetch(`${router.url}/metrics`)).text()
	const values = new Map<string, number>()
	for (const line of text.split('\n')) {
		const separatorIndex = line.lastIndexOf(' ')
		if (separatorIndex > 0)
			values.set(line.slice(0, separatorIndex), Number(line.slice(separatorIndex + 1)))
	}
	return values
}

/** Returns the sum of all metrics whose name starts with a prefix. */
export function sumByPrefix(values: MetricValues, prefix: string): number {
	let sum = 0
	for (const [name, value] of values) if (name.startsWith(prefix)) sum += value
	return sum
}

/** Returns the increase between two scrapes of the sum of all metrics whose name starts with a prefix. */
export function increaseByPrefix(
	before: MetricValues,
	after: MetricValues,
	prefix: string,
): number {
	return sumByPrefix(after, prefix) - sumByPrefix(before, prefix)
}
