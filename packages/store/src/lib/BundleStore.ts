import {
	BUNDLE_HEAD_KEY,
	emptyShard,
	freeInShard,
	outstandingInShard,
	setPrepaid,
	shardKey,
	shardOf,
	type Bundle,
	type BudgetShardValue,
	type PlatformResult,
} from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'
import type { BundleDocument } from './BundleDocument.js'
import type { PlatformClient } from './PlatformClient.js'

/** The accepted bundle version. @public */
export interface BundleHead {
	readonly version: number
	readonly hash: string
}

/** Reason why a bundle operation failed. @public */
export type BundleStoreFault =
	| { readonly kind: 'conflict'; readonly head: BundleHead | undefined }
	| { readonly kind: 'no-answer'; readonly step: string }
	| { readonly kind: 'unknown-version'; readonly version: number }
	| { readonly kind: 'not-next'; readonly version: number; readonly next: number }
	| {
			readonly kind: 'prepaid-allotted'
			readonly budget: string
			readonly prepaid: number
			readonly outstanding: number
	  }

interface Manifest {
	readonly hash: string
	readonly chunks: number
	readonly author: BundleDocument['author']
	readonly approval?: BundleDocument['approval']
}

/** Keeps each chunk below the platform's maximum value size of 1 MB of UTF-8. */
const MAX_CHUNK_CHARACTERS = 200_000
const MAX_CAS_ATTEMPTS = 8

/** Stores bundles in the platform as immutable chunks under their hash, with one head for the accepted version. @public */
export class BundleStore {
	constructor(private readonly platform: PlatformClient) {}

	/** Reads the accepted version and the revision of the head. */
	async head(): Promise<{ head: BundleHead | undefined; revision: number }> {
		const found = await this.platform.read(BUNDLE_HEAD_KEY)
		return { head: found?.value as BundleHead | undefined, revision: found?.revision ?? 0 }
	}

	/** Writes a proposal under its hash. Idempotent. */
	async propose(document: BundleDocument): Promise<E.Either<BundleStoreFault, void>> {
		const chunks = Math.ceil(document.text.length / MAX_CHUNK_CHARACTERS)
		for (let i = 0; i < chunks; i++) {
			const text = document.text.slice(i * MAX_CHUNK_CHARACTERS, (i + 1) * MAX_CHUNK_CHARACTERS)
			const result = await this.write(chunkKey(document.hash, i), 0, { text })
			if (result.kind === 'no-answer') return E.left({ kind: 'no-answer', step: `chunk ${i}` })
		}
		const manifest: Manifest = { hash: document.hash, chunks, author: document.author }
		const result = await this.write(manifestKey(document.hash), 0, manifest)
		return result.kind === 'no-answer'
			? E.left({ kind: 'no-answer', step: 'manifest' })
			: E.right(undefined)
	}

	/** Adds the approver's signature to a proposal. */
	async approve(
		hash: string,
		approval: NonNullable<BundleDocument['approval']>,
	): Promise<E.Either<BundleStoreFault, void>> {
		const found = await this.platform.read(manifestKey(hash))
		if (!found) return E.left({ kind: 'unknown-version', version: 0 })
		const manifest = { ...(found.value as Manifest), approval }
		const result = await this.write(manifestKey(hash), found.revision, manifest)
		return result.kind === 'written' ? E.right(undefined) : E.left(makeFault(result, 'approval'))
	}

	/** Reads a document by hash. */
	async document(hash: string): Promise<BundleDocument | undefined> {
		const found = await this.platform.read(manifestKey(hash))
		if (!found) return undefined
		const manifest = found.value as Manifest
		const chunks: string[] = []
		for (let i = 0; i < manifest.chunks; i++) {
			const chunk = await this.platform.read(chunkKey(hash, i))
			if (!chunk) return undefined
			chunks.push((chunk.value as { text: string }).text)
		}
		const { author, approval } = manifest
		return { text: chunks.join(''), hash, author, ...(approval ? { approval } : {}) }
	}

	/** Reads the document of the accepted version, if there is one. */
	async accepted(): Promise<BundleDocument | undefined> {
		const { head } = await this.head()
		return head && this.document(head.hash)
	}

	/**
	 * Accepts a version by a compare-and-swap of the head. When two operators race, one gets a conflict. If the response is
	 * lost, the head is read again to find the outcome.
	 */
	async accept(bundle: Bundle, hash: string): Promise<E.Either<BundleStoreFault, BundleHead>> {
		const { head, revision } = await this.head()
		if (head?.hash === hash) return E.right(head)
		const next = (head?.version ?? 0) + 1
		if (bundle.version !== next) {
			if (head && bundle.version <= head.version) return E.left({ kind: 'conflict', head })
			return E.left({ kind: 'not-next', version: bundle.version, next })
		}
		const lowered = await this.lowerPrepaid(bundle)
		if (E.isLeft(lowered)) return lowered
		const newHead: BundleHead = { version: bundle.version, hash }
		const result = await this.platform.call({
			kind: 'cas',
			key: BUNDLE_HEAD_KEY,
			expected: revision,
			value: newHead,
		})
		if (result.kind === 'written') return E.right(newHead)
		const current = await this.head()
		return current.head?.hash === hash
			? E.right(newHead)
			: E.left({ kind: 'conflict', head: current.head })
	}

	/** Writes lowered prepaid amounts to the shards before the bundle is accepted, so that no box allots more. */
	private async lowerPrepaid(bundle: Bundle): Promise<E.Either<BundleStoreFault, void>> {
		const shards = new Set(
			bundle.budgets.map((budget) => shardOf(budget.name, bundle.policy.shardCount)),
		)
		for (const shard of shards) {
			const result = await this.lowerShard(bundle, shard)
			if (E.isLeft(result)) return result
		}
		return E.right(undefined)
	}

	private async lowerShard(
		bundle: Bundle,
		shard: number,
	): Promise<E.Either<BundleStoreFault, void>> {
		for (let i = 0; i < MAX_CAS_ATTEMPTS; i++) {
			const found = await this.platform.read(shardKey(shard))
			const value = (found?.value as BudgetShardValue | undefined) ?? emptyShard()
			let changed = false
			for (const budget of bundle.budgets) {
				const row = value.budgets[budget.name]
				if (!row || budget.prepaid >= row.prepaid) continue
				if (freeInShard(row) < row.prepaid - budget.prepaid)
					return E.left({
						kind: 'prepaid-allotted',
						budget: budget.name,
						prepaid: budget.prepaid,
						outstanding: outstandingInShard(row),
					})
				setPrepaid(value, budget.name, budget.prepaid, bundle.version)
				changed = true
			}
			if (!changed) return E.right(undefined)
			const result = await this.write(shardKey(shard), found?.revision ?? 0, value)
			if (result.kind === 'written') return E.right(undefined)
		}
		return E.left({ kind: 'no-answer', step: `shard ${shard}` })
	}

	private write(key: string, expected: number, value: unknown): Promise<PlatformResult> {
		return this.platform.call({ kind: 'cas', key, expected, value })
	}
}

function makeFault(result: PlatformResult, step: string): BundleStoreFault {
	return result.kind === 'conflict'
		? { kind: 'conflict', head: undefined }
		: { kind: 'no-answer', step }
}

function manifestKey(hash: string): string {
	return `bundles/${hash}/manifest`
}

function chunkKey(hash: string, chunk: number): string {
	return `bundles/${hash}/chunk/${chunk}`
}
