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

/** An operator's signature of a bundle hash. @public */
export interface BundleSignature {
	readonly operator: string
	/** Base64 of the ed25519 signature over the hash text. */
	readonly signature: string
}

/** A bundle as stored and distributed: its exact text, the hash of the text, and signatures. @public */
export interface BundleDocument {
	readonly text: string
	/** `sha256:<hex>` of the text. */
	readonly hash: string
	readonly author: BundleSignature
	/** Absent until a second operator has approved the bundle. */
	readonly approval?: BundleSignature
}

/** A trusted operator with its public key. @public */
export interface OperatorKey {
	readonly name: string
	/** PEM of the ed25519 public key. */
	readonly publicKey: string
}

/** Reason why a bundle document is rejected. @public */
export type DocumentFault =
	| { readonly kind: 'wrong-hash' }
	| { readonly kind: 'not-json' }
	| { readonly kind: 'bad-signature'; readonly operator: string }
	| { readonly kind: 'unknown-operator'; readonly operator: string }
	| { readonly kind: 'not-approved' }
	| { readonly kind: 'same-operator'; readonly operator: string }
	| BundleFault

/** SHA-256 hash of a bundle's text, in the form of {@link BundleDocument.hash}. @public */
export function hashText(text: string): string {
	return `sha256:${createHash('sha256').update(text).digest('hex')}`
}

/** Generates an ed25519 key pair for an operator, as PEM. @public */
export function makeOperatorKey(): { publicKey: string; privateKey: string } {
	const pair = generateKeyPairSync('ed25519')
	return {
		publicKey: pair.publicKey.export({ type: 'spki', format: 'pem' }).toString(),
		privateKey: pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString(),
	}
}

/** Signs a bundle hash. @public */
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

/** Verifies hash and author signature of a proposal and parses its bundle. @public */
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

/** Verifies that two different operators have signed a document and parses its bundle. @public */
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
