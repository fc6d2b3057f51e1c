import * as E from 'fp-ts/lib/Either.js'
import { z } from 'zod'
import { brandId, type Branded } from '../ids.js'
import { DEFAULT_POLICY, type Bundle } from './Bundle.js'

/** A validation error of a bundle. `path` locates the invalid value. @public */
export interface BundleFault {
	readonly kind: 'bundle-fault'
	readonly path: readonly (string | number)[]
	readonly expected: string
}

const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,39}$/
const MAX_WEIGHT = 1_000_000

function nameSchema<T extends Branded<string>>() {
	return z
		.string()
		.regex(NAME_PATTERN, 'a name of 1 to 40 lower-case letters, digits and dashes')
		.transform((text) => brandId<T>(text))
}

const amountSchema = z.number().int().min(0).max(Number.MAX_SAFE_INTEGER)
const durationSchema = z.number().int().min(0)
const weightSchema = z.number().int().min(0).max(MAX_WEIGHT)

const policySchema = z.strictObject({
	sliceHorizonMs: durationSchema.default(DEFAULT_POLICY.sliceHorizonMs),
	trancheMs: durationSchema.default(DEFAULT_POLICY.trancheMs),
	retentionMs: durationSchema.default(DEFAULT_POLICY.retentionMs),
	clockSkewMs: durationSchema.default(DEFAULT_POLICY.clockSkewMs),
	urgentHeadroom: z.number().min(0).max(0.9).default(DEFAULT_POLICY.urgentHeadroom),
	shardCount: z.number().int().min(1).max(4096).default(DEFAULT_POLICY.shardCount),
	platformWrites: z.number().int().min(1).default(DEFAULT_POLICY.platformWrites),
	platformReads: z.number().int().min(1).default(DEFAULT_POLICY.platformReads),
})

/** Schema of a bundle file. @public */
export const bundleSchema = z.strictObject({
	version: z.number().int().min(1),
	zones: z.array(z.strictObject({ name: nameSchema<Bundle['zones'][number]['name']>() })).min(1),
	models: z
		.array(
			z.strictObject({
				name: z.string().min(1).max(100),
				inputWeight: weightSchema,
				outputWeight: weightSchema,
				maxOutputTokens: z.number().int().min(1).max(1_000_000),
			}),
		)
		.default([]),
	services: z
		.array(z.strictObject({ name: nameSchema<Branded<'Service'>>(), callCost: amountSchema }))
		.default([]),
	targets: z.array(
		z.strictObject({
			name: nameSchema<Bundle['targets'][number]['name']>(),
			zone: nameSchema<Bundle['zones'][number]['name']>(),
			kind: z.enum(['engine', 'service']),
			url: z.string().regex(/^https?:\/\/[^/]+$/, 'an http or https address without a path'),
			serves: z.array(z.string()).min(1),
			concurrency: z.number().int().min(1).max(100_000).default(32),
			leaving: z.boolean().default(false),
		}),
	),
	accounts: z.array(
		z.strictObject({
			name: nameSchema<Bundle['accounts'][number]['name']>(),
			keyHashes: z.array(z.string().regex(/^sha256:[0-9a-f]{64}$/, 'sha256:<64 hex digits>')),
			budgets: z.array(nameSchema<Bundle['budgets'][number]['name']>()).min(1),
			defaultBudget: nameSchema<Bundle['budgets'][number]['name']>(),
			homeZones: z.array(nameSchema<Bundle['zones'][number]['name']>()).default([]),
		}),
	),
	budgets: z.array(
		z.strictObject({
			name: nameSchema<Bundle['budgets'][number]['name']>(),
			prepaid: amountSchema,
		}),
	),
	policy: policySchema.default(DEFAULT_POLICY),
})

/**
 * Validates a parsed bundle against the schema and checks its cross references. Returns all errors, not only the first.
 * @public
 */
export function validateBundle(input: unknown): E.Either<readonly BundleFault[], Bundle> {
	const parsed = bundleSchema.safeParse(input)
	if (!parsed.success) {
		return E.left(
			parsed.error.issues.map((issue) =>
				makeFault(issue.path as (string | number)[], issue.message),
			),
		)
	}
	const bundle: Bundle = parsed.data
	const faults = crossReferenceFaults(bundle)
	return faults.length > 0 ? E.left(faults) : E.right(bundle)
}

function makeFault(path: readonly (string | number)[], expected: string): BundleFault {
	return { kind: 'bundle-fault', path, expected }
}

function crossReferenceFaults(bundle: Bundle): BundleFault[] {
	const zones = new Set<string>(bundle.zones.map((zone) => zone.name))
	const budgets = new Set<string>(bundle.budgets.map((budget) => budget.name))
	const models = new Set(bundle.models.map((model) => model.name))
	const services = new Set<string>(bundle.services.map((service) => service.name))
	const faults = [
		...duplicateFaults('zones', bundle.zones),
		...duplicateFaults('models', bundle.models),
		...duplicateFaults('services', bundle.services),
		...duplicateFaults('targets', bundle.targets),
		...duplicateFaults('accounts', bundle.accounts),
		...duplicateFaults('budgets', bundle.budgets),
	]
	bundle.targets.forEach((target, i) => {
		const knownNames = target.kind === 'engine' ? models : services
		if (!zones.has(target.zone))
			faults.push(makeFault(['targets', i, 'zone'], 'a zone of this bundle'))
		target.serves.forEach((served, j) => {
			if (!knownNames.has(served))
				faults.push(makeFault(['targets', i, 'serves', j], `a known ${target.kind} name`))
		})
	})
	const seenHashes = new Set<string>()
	bundle.accounts.forEach((account, i) => {
		account.budgets.forEach((budget, j) => {
			if (!budgets.has(budget))
				faults.push(makeFault(['accounts', i, 'budgets', j], 'a budget of this bundle'))
		})
		if (!account.budgets.includes(account.defaultBudget))
			faults.push(makeFault(['accounts', i, 'defaultBudget'], 'one of the budgets of the account'))
		account.homeZones.forEach((zone, j) => {
			if (!zones.has(zone))
				faults.push(makeFault(['accounts', i, 'homeZones', j], 'a zone of this bundle'))
		})
		account.keyHashes.forEach((hash, j) => {
			if (seenHashes.has(hash))
				faults.push(makeFault(['accounts', i, 'keyHashes', j], 'a key that no other account has'))
			seenHashes.add(hash)
		})
	})
	return faults
}

function duplicateFaults(section: string, rows: readonly { readonly name: string }[]) {
	const seen = new Set<string>()
	const faults: BundleFault[] = []
	rows.forEach((row, i) => {
		if (seen.has(row.name)) faults.push(makeFault([section, i, 'name'], 'a name used only once'))
		seen.add(row.name)
	})
	return faults
}
