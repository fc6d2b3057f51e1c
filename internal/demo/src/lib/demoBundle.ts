import { hashKey } from '@stallwing/router'

/** A client account of the demo, with its API key and budget. */
export interface DemoAccount {
	readonly name: string
	readonly key: string
	readonly budget: string
	readonly prepaid: number
}

/** Client accounts of the demo. */
export const DEMO_ACCOUNTS: readonly DemoAccount[] = [
	{ name: 'dispatch-desk', key: 'key-dispatch', budget: 'dispatch', prepaid: 400_000 },
	{ name: 'billing-clerks', key: 'key-billing', budget: 'billing', prepaid: 200_000 },
	{ name: 'field-crews', key: 'key-field', budget: 'field', prepaid: 100_000 },
]

/** A target of the demo. */
export interface DemoTarget {
	readonly name: string
	readonly zone: string
	readonly kind: 'engine' | 'service'
	readonly url: string
}

/** Returns the demo bundle as the text of a bundle file. */
export function demoBundle(zones: readonly string[], targets: readonly DemoTarget[]): string {
	const bundle = {
		version: 1,
		zones: zones.map((name) => ({ name })),
		models: [{ name: 'heat-small', inputWeight: 1, outputWeight: 3, maxOutputTokens: 256 }],
		services: [{ name: 'meters', callCost: 5 }],
		targets: targets.map(({ name, zone, kind, url }) => ({
			name,
			zone,
			kind,
			url,
			serves: [kind === 'engine' ? 'heat-small' : 'meters'],
			concurrency: kind === 'engine' ? 64 : 128,
		})),
		accounts: DEMO_ACCOUNTS.map(({ name, key, budget }) => ({
			name,
			keyHashes: [hashKey(key)],
			budgets: [budget],
			defaultBudget: budget,
		})),
		budgets: DEMO_ACCOUNTS.map(({ budget, prepaid }) => ({ name: budget, prepaid })),
	}
	return `// Made by the demo.\n${JSON.stringify(bundle, null, '\t')}\n`
}
