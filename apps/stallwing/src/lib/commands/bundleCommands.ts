import { readFileSync, writeFileSync, existsSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { validateBundle, type Bundle } from '@stallwing/core'
import {
	BundleStore,
	checkAccepted,
	checkProposal,
	hashText,
	locateFault,
	parseJsonc,
	signHash,
	type BundleDocument,
	type DocumentFault,
	type BundleStoreFault,
} from '@stallwing/store'
import type { Command } from 'commander'
import * as E from 'fp-ts/lib/Either.js'
import { CommandError, EXIT_CODES } from '../CommandError.js'
import { diffBundles } from '../diffBundles.js'
import {
	formatFaults,
	loadOperatorConfig,
	readTextFile,
	requireSigner,
	withPlatform,
	type OperatorConfig,
} from '../OperatorConfig.js'
import { print, printJson } from '../print.js'

const TEMPLATE_FILE = fileURLToPath(new URL('../../../templates/bundle.jsonc', import.meta.url))

/** Adds the `stallwing bundle` commands. */
export function addBundleCommands(program: Command, config: () => string): void {
	const bundle = program.command('bundle').description('the versioned configuration')
	const load = (): OperatorConfig => loadOperatorConfig(config())
	bundle
		.command('init')
		.description('write a bundle template')
		.argument('[file]', 'file to write', 'bundle.jsonc')
		.action(initBundle)
	bundle
		.command('check')
		.description('validate a bundle file; lists every fault')
		.argument('<file>')
		.action((file: string) => {
			const validBundle = readBundle(file)
			print(`${file}: version ${validBundle.version} is valid`)
		})
	bundle
		.command('propose')
		.description('sign a bundle as its author and store the proposal')
		.argument('<file>')
		.action((file: string) => propose(load(), file))
	bundle
		.command('sign')
		.description('approve a proposed bundle; its author may not')
		.argument('<hash>')
		.action((hash: string) => approve(load(), hash))
	bundle
		.command('accept')
		.description('put an approved bundle in force')
		.argument('<hash>')
		.action((hash: string) => accept(load(), hash))
	bundle
		.command('status')
		.description('show the version in force')
		.option('--json', 'print JSON')
		.action((options: { json?: boolean }) => showStatus(load(), options.json === true))
	bundle
		.command('diff')
		.description('compare a bundle file with the version in force')
		.argument('<file>')
		.action((file: string) => showDiff(load(), file))
}

function initBundle(file: string): void {
	if (existsSync(file)) throw new CommandError(EXIT_CODES.conflict, `${file} already exists`)
	writeFileSync(file, readFileSync(TEMPLATE_FILE, 'utf8'))
	print(`wrote ${file}`)
}

/** Reads and validates a bundle file. @throws CommandError that lists every fault. */
export function readBundle(file: string): Bundle {
	const text = readTextFile(file)
	const parsed = parseJsonc(file, text)
	if (E.isLeft(parsed)) throw new CommandError(EXIT_CODES.invalid, formatFaults(parsed.left))
	const result = validateBundle(parsed.right)
	if (E.isRight(result)) return result.right
	const faults = result.left.map((fault) => locateFault(file, text, fault.path, fault.expected))
	throw new CommandError(EXIT_CODES.invalid, formatFaults(faults))
}

async function propose(config: OperatorConfig, file: string): Promise<void> {
	const text = JSON.stringify(readBundle(file))
	const hash = hashText(text)
	const { name, privateKey } = requireSigner(config)
	const document = { text, hash, author: signHash(hash, name, privateKey) }
	requireValid(checkProposal(document, config.operators))
	await withPlatform(config, async (platform) => {
		requireStored(await new BundleStore(platform).propose(document))
	})
	print(hash)
}

async function approve(config: OperatorConfig, hash: string): Promise<void> {
	const { name, privateKey } = requireSigner(config)
	await withPlatform(config, async (platform) => {
		const store = new BundleStore(platform)
		const document = await readProposal(store, hash)
		const approval = signHash(hash, name, privateKey)
		requireValid(checkAccepted({ ...document, approval }, config.operators))
		requireStored(await store.approve(hash, approval))
	})
	print(`${hash} is approved by ${name}`)
}

async function accept(config: OperatorConfig, hash: string): Promise<void> {
	await withPlatform(config, async (platform) => {
		const store = new BundleStore(platform)
		const bundle = requireValid(checkAccepted(await readProposal(store, hash), config.operators))
		const head = requireStored(await store.accept(bundle, hash))
		print(`version ${head.version} is in force`)
	})
}

async function showStatus(config: OperatorConfig, json: boolean): Promise<void> {
	await withPlatform(config, async (platform) => {
		const { head } = await new BundleStore(platform).head()
		if (json) printJson(head ?? null)
		else print(head ? `version ${head.version}, ${head.hash}` : 'no version is in force')
	})
}

async function showDiff(config: OperatorConfig, file: string): Promise<void> {
	const next = readBundle(file)
	await withPlatform(config, async (platform) => {
		const document = await new BundleStore(platform).accepted()
		const current = document && requireValid(checkAccepted(document, config.operators))
		for (const line of diffBundles(current, next)) print(line)
	})
}

async function readProposal(store: BundleStore, hash: string): Promise<BundleDocument> {
	const document = await store.document(hash)
	if (!document) throw new CommandError(EXIT_CODES.invalid, `no bundle ${hash} is proposed`)
	return document
}

function requireValid<T>(result: E.Either<readonly DocumentFault[], T>): T {
	if (E.isRight(result)) return result.right
	throw new CommandError(
		EXIT_CODES.invalid,
		result.left.map((fault) => JSON.stringify(fault)).join('\n'),
	)
}

function requireStored<T>(result: E.Either<BundleStoreFault, T>): T {
	if (E.isRight(result)) return result.right
	const fault = result.left
	const code = fault.kind === 'no-answer' ? EXIT_CODES.unavailable : EXIT_CODES.conflict
	throw new CommandError(code, describeStoreFault(fault))
}

function describeStoreFault(fault: BundleStoreFault): string {
	switch (fault.kind) {
		case 'conflict':
			return `conflict: version ${fault.head?.version ?? 0} is in force already`
		case 'no-answer':
			return `the platform did not answer (${fault.step}); it is safe to repeat the command`
		case 'unknown-version':
			return 'no such bundle is proposed'
		case 'not-next':
			return `version ${fault.version} is not the next one: expected ${fault.next}`
		case 'prepaid-allotted':
			return `budget ${fault.budget}: ${fault.outstanding} is allotted to zones, more than ${fault.prepaid}`
	}
}
