import { causeOf } from './causeOf.js'
import { LOSS_CAUSES, type LossCause } from './LossCause.js'
import { readLogLine, type LogLine } from './readLogLine.js'

/** Dimensions by which losses are counted. */
export const LOSS_GROUPS = ['route', 'account', 'zone', 'box'] as const
export type LossGroup = (typeof LOSS_GROUPS)[number]

/** Number of requests by cause. */
export type LossCounts = ReadonlyMap<LossCause, number>

/** Result of a {@link LossCounter}; causes and groups with the most losses come first. */
export interface LossReport {
	/** Number of all requests, with or without a logged end. */
	readonly requests: number
	/** Number of requests that were sent to more than one target. */
	readonly repeated: number
	/** Number of lines that are truncated or not log lines. */
	readonly foreignLines: number
	readonly causes: readonly (readonly [LossCause, number])[]
	readonly groups: Readonly<Record<LossGroup, readonly (readonly [string, LossCounts])[]>>
	/** Counts for each second since the first request ended. */
	readonly seconds: readonly LossCounts[]
}

interface OpenRequest {
	readonly box: string
	readonly zone: string
	readonly atMs: number
}

interface EndedRequest {
	readonly cause: LossCause
	readonly atMs: number
	readonly groupKeys: Readonly<Record<LossGroup, string>>
}

const MS_PER_SECOND = 1_000
const CAUSE_ORDER = new Map(LOSS_CAUSES.map((cause, i) => [cause, i]))

/** Counts the outcomes of requests from the log lines of any number of boxes, in any order. */
export class LossCounter {
	private readonly ends: EndedRequest[] = []
	private readonly openRequests = new Map<string, OpenRequest>()
	private readonly endedRequests = new Set<string>()
	private repeated = 0
	private foreignLines = 0

	add(text: string): void {
		if (text.trim() === '') return
		const line = readLogLine(text)
		if (line) this.addLine(line)
		else this.foreignLines++
	}

	report(): LossReport {
		const unfinished = [...this.openRequests].filter(
			([request]) => !this.endedRequests.has(request),
		)
		const ends = [...this.ends, ...unfinished.map(([, open]) => endOfUnfinished(open))]
		return {
			requests: ends.length,
			repeated: this.repeated,
			foreignLines: this.foreignLines,
			causes: sortCauses(countCauses(ends)),
			groups: {
				route: countByGroup(ends, 'route'),
				account: countByGroup(ends, 'account'),
				zone: countByGroup(ends, 'zone'),
				box: countByGroup(ends, 'box'),
			},
			seconds: countBySecond(ends),
		}
	}

	private addLine(line: LogLine): void {
		const { fields, box, zone, atMs } = line
		const request = `${box} ${String(fields.request ?? '')}`
		if (line.name === 'target-chosen') {
			this.openRequests.set(request, { box, zone, atMs })
			return
		}
		const cause = causeOf(line)
		if (cause === undefined) return
		if (fields.request !== undefined) this.endedRequests.add(request)
		if (typeof fields.sent === 'number' && fields.sent > 1) this.repeated++
		const groupKeys = {
			route: stringOrEmpty(fields.route),
			account: stringOrEmpty(fields.account),
			zone,
			box,
		}
		this.ends.push({ cause, atMs, groupKeys })
	}
}

/** Sorts causes by count, largest first; `in-time` is last. */
export function sortCauses(counts: LossCounts): (readonly [LossCause, number])[] {
	const order = (cause: LossCause): number => CAUSE_ORDER.get(cause) ?? 0
	return [...counts].sort(([causeA, countA], [causeB, countB]) => {
		if (causeA === 'in-time' || causeB === 'in-time') return causeA === 'in-time' ? 1 : -1
		return countB - countA || order(causeA) - order(causeB)
	})
}

/** Counts the requests that were not answered in time. */
export function countLost(counts: LossCounts): number {
	let lost = 0
	for (const [cause, count] of counts) if (cause !== 'in-time') lost += count
	return lost
}

function endOfUnfinished({ box, zone, atMs }: OpenRequest): EndedRequest {
	return { cause: 'failed-box-gone', atMs, groupKeys: { route: '', account: '', zone, box } }
}

function countCauses(ends: readonly EndedRequest[]): LossCounts {
	const counts = new Map<LossCause, number>()
	for (const { cause } of ends) counts.set(cause, (counts.get(cause) ?? 0) + 1)
	return counts
}

function countByGroup(
	ends: readonly EndedRequest[],
	group: LossGroup,
): (readonly [string, LossCounts])[] {
	const groups = new Map<string, EndedRequest[]>()
	for (const end of ends) {
		const key = end.groupKeys[group]
		const existing = groups.get(key)
		if (existing) existing.push(end)
		else groups.set(key, [end])
	}
	const rows = [...groups].map(([key, part]) => [key, countCauses(part)] as const)
	return rows.sort(([, a], [, b]) => countLost(b) - countLost(a))
}

function countBySecond(ends: readonly EndedRequest[]): LossCounts[] {
	if (ends.length === 0) return []
	const first = ends.reduce((min, { atMs }) => Math.min(min, atMs), Number.POSITIVE_INFINITY)
	const last = ends.reduce((max, { atMs }) => Math.max(max, atMs), first)
	const seconds = Math.floor((last - first) / MS_PER_SECOND) + 1
	const parts = Array.from({ length: Math.min(seconds, MAX_SECONDS) }, (): EndedRequest[] => [])
	for (const end of ends) parts[Math.floor((end.atMs - first) / MS_PER_SECOND)]?.push(end)
	return parts.map(countCauses)
}

/** Maximum length of {@link LossReport.seconds}; later ends are not counted by second. */
const MAX_SECONDS = 7_200

function stringOrEmpty(value: unknown): string {
	return typeof value === 'string' ? value : ''
}
