/** A straight line through measured points. */
export interface LineFit {
	readonly slope: number
	readonly intercept: number
	/** Largest distance of a point from the line, as a share of the largest value. */
	readonly relativeResidual: number
}

/** Fits a line by least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): LineFit {
	const n = points.length
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / n
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n
	let above = 0
	let below = 0
	for (const [x, y] of points) {
		above += (x - meanX) * (y - meanY)
		below += (x - meanX) ** 2
	}
	const slope = below === 0 ? 0 : above / below
	const intercept = meanY - slope * meanX
	const largest = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE)
	const worst = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
	return { slope, intercept, relativeResidual: worst / largest }
}

/** A fit as text: slope, intercept, residual, with the measured range. */
export function describeFit(points: readonly (readonly [number, number])[]): string {
	const { slope, intercept, relativeResidual: residual } = fitLine(points)
	const xs = points.map(([x]) => x)
	const range = `${Math.min(...xs)} to ${Math.max(...xs)}`
	const values = points.map(([x, y]) => `${x}: ${y.toPrecision(4)}`).join(', ')
	return `${slope.toPrecision(3)} each + ${intercept.toPrecision(3)} (range ${range}, residual ${(residual * 100).toFixed(1)} %; ${values})`
}
