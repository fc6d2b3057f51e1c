/** A line fitted to measured points. */
export interface LineFit {
	readonly slope: number
	readonly intercept: number
	/** Largest vertical distance of a point from the line, relative to the largest absolute value. */
	readonly relativeResidual: number
}

/** Fits a line by the method of least squares. */
export function fitLine(points: readonly (readonly [number, number])[]): LineFit {
	const n = points.length
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / n
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n
	let covariance = 0
	let variance = 0
	for (const [x, y] of points) {
		covariance += (x - meanX) * (y - meanY)
		variance += (x - meanX) ** 2
	}
	const slope = variance === 0 ? 0 : covariance / variance
	const intercept = meanY - slope * meanX
	const largestValue = Math.max(...points.map(([, y]) => Math.abs(y)), Number.MIN_VALUE)
	const largestDistance = Math.max(...points.map(([x, y]) => Math.abs(y - intercept - slope * x)))
	return { slope, intercept, relativeResidual: largestDistance / largestValue }
}

/** Formats the fit of points: slope, intercept, range of x, residual and the points. */
export function describeFit(points: readonly (readonly [number, number])[]): string {
	const { slope, intercept, relativeResidual } = fitLine(points)
	const xs = points.map(([x]) => x)
	const range = `${Math.min(...xs)} to ${Math.max(...xs)}`
	const values = points.map(([x, y]) => `${x}: ${y.toPrecision(4)}`).join(', ')
	return `${slope.toPrecision(3)} each + ${intercept.toPrecision(3)} (range ${range}, residual ${(relativeResidual * 100).toFixed(1)} %; ${values})`
}
