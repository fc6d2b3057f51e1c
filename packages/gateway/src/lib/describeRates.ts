import type { RateLimitStatus } from '@stallwing/core'

/** Text for the log: the rate limit of each target, the age of that report, and the share of this box. */
export function describeRates(views: readonly RateLimitStatus[]): string {
	return views.map(describeRate).join('; ')
}

function describeRate({ target, perSecond, ageMs, share }: RateLimitStatus): string {
	const shareText = `${round(share.perSecond)}/s here, ${round(share.tokens)} left`
	return `${target} ${perSecond}/s said ${Math.round(ageMs)} ms ago, ${shareText}`
}

function round(value: number): string {
	return value.toFixed(2)
}
