import {
	createHash,
	createPrivateKey,
	createPublicKey,
	generateKeyPairSync,
	sign,
	verify,
} from 'node:crypto'
import { validateBundle, type Bundle, type BundleFault } from '@stallwing/core'
import * as E from 'fp-ts/lib/Either.js'

/** A signature of a bundle's hash by one operator. @public */
export interface BundleSignature {
	readonly operator: string
	/** Base64 of the ed25519 signature over the hash text. */
	readonly signature: string
}

/** A bundle as it is stored and passed on: its exact text, the hash of that, and signatures. @public */
export interface BundleDocument {
	readonly text: string
	/** `sha256:<hex>` of the text. */
	readonly hash: string
	readonly author: BundleSignature
	/** Absent until a different operator has approved it. */
	readonly approval?: BundleSignature
}

/** An operator whose signatures count. @public */
export interface OperatorKey {
	readonly name: string
	/** PEM of the ed25519 public key. */
	readonly publicKey: string
}

/** Why a bundle document is refused. @public */
export type DocumentFault =
	| { readonly kind: 'wrong-hash' }
	| { readonly kind: 'not-json' }
	| { readonly kind: 'bad-signature'; readonly operator: string }
	| { readonly kind: 'unknown-operator'; readonly operator: string }
	| { readonly kind: 'not-approved' }
	| { readonly kind: 'same-operator'; readonly operator: string }
	| BundleFault

/** Hash of a bundle's text. @public */
export function hashText(text: string): string {
	return `sha256:${createHash('sha256').update(text).digest('hex')}`
}

/** Makes a pair of ed25519 keys for an operator, as PEM. @public */
export function makeOperatorKey(): { publicKey: string; privateKey: string } {
	const pair = generateKeyPairSync('ed25519')
	return {
		publicKey: pair.publicKey.export({ type: 'spki', format: 'pem' }).toString(),
		privateKey: pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
	}
}

/** Signs a hash. @public */
export function signHash(hash: string, operator: string, privateKeyPem: string): BundleSignature {
	const signature = sign(null, Buffer.from(hash), createPrivateKey(privateKeyPem))
	return { operator, signature: signature.toString('base64') }
}

function signatureFault(
	hash: string,
	signature: BundleSignature,
	operators: readonly OperatorKey[],
): DocumentFault | undefined {
	const operator = operators.find((entry) => entry.name === signature.operator)
	if (!operator) return { kind: 'unknown-operator', operator: signature.operator }
	const key = createPublicKey(operator.publicKey)
	const valid = verify(null, Buffer.from(hash), key, Buffer.from(signature.signature, 'base64'))
	return valid ? undefined : { kind: 'bad-signature', operator: signature.operator }
}

/** Checks hash and author of a proposal, and reads the bundle. @public */
export function checkProposal(
	document: BundleDocument,
	operators: readonly OperatorKey[],
): E.Either<readonly DocumentFault[], Bundle> {
	if (hashText(document.text) !== document.hash) return E.left([{ kind: 'wrong-hash' }])
	const fault = signatureFault(document.hash, document.author, operators)
	if (fault) return E.left([fault])
	try {
		return validateBundle(JSON.parse(document.text))
	} catch {
		return E.left([{ kind: 'not-json' }])
	}
}

/** Checks that a document may be in force: two different operators have signed it. @public */
export function checkAccepted(
	document: BundleDocument,
	operators: readonly OperatorKey[],
): E.Either<readonly DocumentFault[], Bundle> {
	const { approval, author } = document
	if (!approval) return E.left([{ kind: 'not-approved' }])
	if (approval.operator === author.operator)
		return E.left([{ kind: 'same-operator', operator: author.operator }])
	const fault = signatureFault(document.hash, approval, operators)
	return fault ? E.left([fault]) : checkProposal(document, operators)
}
