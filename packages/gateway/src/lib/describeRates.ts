import type { RateLimitStatus } from '@stallwing/core'

/** For a log line: each target with its rate, the age of its word, and what this box has of the rate. */
export function describeRates(views: readonly RateLimitStatus[]): string {
	return views.map(describeRate).join('; ')
}

function describeRate({ target, perSecond, ageMs, share }: RateLimitStatus): string {
	const own = `${round(share.perSecond)}/s here, ${round(share.tokens)} left`
	return `${target} ${perSecond}/s said ${Math.round(ageMs)} ms ago, ${own}`
}

function round(value: number): string {
	return value.toFixed(2)
}
