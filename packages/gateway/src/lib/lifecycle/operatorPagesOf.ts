import type { Metrics } from '@stallwing/telemetry'
import type { ReleaseResult } from '../allowance/releaseWithheld.js'
import type { Gateway } from '../Gateway.js'

/** Contents of the operator endpoints, as text. */
export interface OperatorPages {
	readonly metrics: () => string
	/** A JSON document. */
	readonly status: () => string
	/** Releases a quarantined request; returns false if it is not quarantined. */
	readonly releaseQuarantined: (fingerprint: string) => boolean
	/** Releases the withheld tokens of an account. */
	readonly releaseWithheldTokens: (account: string) => Promise<ReleaseResult>
}

/** The operator endpoints of a gateway. */
export function operatorPagesOf(gateway: Gateway, metrics: Metrics): OperatorPages {
	return {
		metrics: () => metrics.render(gateway.gauges()),
		status: () => JSON.stringify(gateway.status()),
		releaseQuarantined: (fingerprint) => gateway.releaseQuarantined(fingerprint),
		releaseWithheldTokens: (account) => gateway.releaseWithheldTokens(account),
	}
}
