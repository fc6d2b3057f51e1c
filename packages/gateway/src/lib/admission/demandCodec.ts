import {
	brandId,
	type BoxDemand,
	type BoxName,
	type RankDemand,
	type ServiceName,
} from '@stallwing/core'
import { readDatagramRows } from '../readDatagramRows.js'
import { isNonNegativeNumber } from '../isNonNegativeNumber.js'

/** The demand of one box for the places of one service. */
export interface DemandReport {
	readonly box: BoxName
	readonly service: ServiceName
	readonly demand: BoxDemand
}

/**
 * Box, service, usual work in ms per ms, and pairs of rank and present work in ms per ms. Work is rounded to a
 * thousandth.
 */
type WireDemand = readonly [string, string, number, readonly (readonly [number, number])[]]

/** Ranks of one report that are read; more come only from a faulty box. */
const MAX_RANKS = 100

/** Encodes the demand of a box, by service, as a message to other boxes. */
export function encodeDemands(box: BoxName, demands: ReadonlyMap<ServiceName, BoxDemand>): string {
	const demand = [...demands].map(([service, { ranks, usualWorkPerMs }]): WireDemand => {
		return [
			box,
			service,
			roundWork(usualWorkPerMs),
			ranks.map(({ rank, workPerMs }) => [rank, roundWork(workPerMs)] as const),
		]
	})
	return JSON.stringify({ demand })
}

/** Returns undefined if the bytes are another kind of message. Skips malformed rows. */
export function decodeDemands(bytes: Buffer): readonly DemandReport[] | undefined {
	return readDatagramRows(bytes, 'demand')?.flatMap((row) => decodeRow(row) ?? [])
}

function decodeRow(row: unknown): DemandReport | undefined {
	if (!Array.isArray(row)) return undefined
	const [box, service, usualWorkPerMs, pairs] = row as unknown[]
	if (typeof box !== 'string' || box === '') return undefined
	if (typeof service !== 'string' || service === '') return undefined
	if (!isNonNegativeNumber(usualWorkPerMs) || !Array.isArray(pairs)) return undefined
	const ranks = pairs.slice(0, MAX_RANKS).flatMap((pair) => decodeRank(pair) ?? [])
	return {
		box: brandId<BoxName>(box),
		service: brandId<ServiceName>(service),
		demand: { ranks, usualWorkPerMs },
	}
}

function decodeRank(pair: unknown): RankDemand | undefined {
	if (!Array.isArray(pair)) return undefined
	const [rank, workPerMs] = pair as unknown[]
	if (!isNonNegativeNumber(rank) || !isNonNegativeNumber(workPerMs)) return undefined
	return { rank, workPerMs }
}

function roundWork(value: number): number {
	return Math.round(value * 1_000) / 1_000
}
