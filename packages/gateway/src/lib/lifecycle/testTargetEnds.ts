import { TestTargetFleet, type FleetResult, type TargetEnd } from './testTargetFleet.js'

/** Ends that are played beside each other. */
const ENDS_AT_ONCE = 5
/** Ends while which the box goes on. */
const ENDS: readonly TargetEnd[] = [
	'nothing ends',
	'nothing ends, and there is one target',
	'it leaves, finishes its answers and lives',
	'it crashes',
	'all crash',
	'it leaves and crashes',
	'its entry goes and it crashes',
	'it crashes behind a proxy that goes on accepting',
	'it restarts on its port',
]
/** Ends that block the process, which would disturb others beside them. */
const BLOCKING_ENDS: readonly TargetEnd[] = [
	'it restarts on its port while the box stands still',
	'it crashes while the box stands still',
]
/** Ends after which every answer is whole, because no target stops before its answers are. */
const HARMLESS_ENDS: readonly TargetEnd[] = [
	'nothing ends',
	'nothing ends, and there is one target',
	'it leaves, finishes its answers and lives',
]

/** For tests: requests to `paths` at each end of a target; returns a line for each kind of wrong outcome. */
export async function findWrongOutcomes(
	paths: readonly string[],
	isForwarded: boolean,
): Promise<string[]> {
	const wrong: string[] = []
	const stops: Promise<void>[] = []
	const playEnd = async (end: TargetEnd): Promise<void> => {
		const fleet = new TestTargetFleet(end, isForwarded)
		const results = await fleet.play(paths).finally(() => stops.push(fleet.stop()))
		for (const path of paths) {
			const ofPath = results.filter((result) => result.path === path)
			wrong.push(...describeWrong(end, ofPath).map((text) => `${end}, ${path}: ${text}`))
		}
	}
	for (let i = 0; i < ENDS.length; i += ENDS_AT_ONCE)
		await Promise.all(ENDS.slice(i, i + ENDS_AT_ONCE).map(playEnd))
	for (const end of BLOCKING_ENDS) await playEnd(end)
	// A box takes some seconds to stop, so all of them stop beside each other.
	await Promise.all(stops)
	return wrong
}

function describeWrong(end: TargetEnd, results: readonly FleetResult[]): readonly string[] {
	const isHarmless = HARMLESS_ENDS.includes(end)
	const count = (text: string, isWrong: (result: FleetResult) => boolean): string[] => {
		const found = results.filter(isWrong).length
		return found > 0 ? [`${found} of ${results.length} ${text}`] : []
	}
	return [
		...count('short', ({ outcome }) => outcome === 'short'),
		...count('failed at a target that lives', (result) => {
			return hasFailed(result) && (isHarmless || !result.wasTroubled)
		}),
		...count('not repeated elsewhere', (result) => {
			return hasFailed(result) && end !== 'all crash' && isRepeatable(result.path)
		}),
		...count('run more than once', ({ path, runs }) => runs > 1 && !isRepeatable(path)),
		...count('refused as not run after a run', ({ outcome, path, runs }) => {
			return outcome === 'refused' && runs > 0 && !isRepeatable(path)
		}),
	]
}

/** True if the request has run and its caller got no answer. */
function hasFailed({ outcome, runs }: FleetResult): boolean {
	return outcome === 'failed' || (outcome === 'refused' && runs > 0)
}

function isRepeatable(path: string): boolean {
	return path.startsWith('/again/') || path.startsWith('/resume/')
}
