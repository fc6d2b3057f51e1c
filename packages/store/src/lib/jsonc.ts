import {
	findNodeAtLocation,
	parse,
	parseTree,
	printParseErrorCode,
	type ParseError,
} from 'jsonc-parser'
import * as E from 'fp-ts/lib/Either.js'

/** An error in a JSON file with comments. @public */
export interface FileFault {
	readonly kind: 'file-fault'
	readonly file: string
	readonly line: number
	/** Dotted path of the key; empty for a syntax error. */
	readonly key: string
	readonly expected: string
}

/** Formats an error as file, line, key and expected value. @public */
export function describeFileFault(fault: FileFault): string {
	const key = fault.key === '' ? '' : ` ${fault.key}:`
	return `${fault.file}:${fault.line}:${key} expected ${fault.expected}`
}

/** Parses JSON with comments; returns all syntax errors. @public */
export function parseJsonc(file: string, text: string): E.Either<readonly FileFault[], unknown> {
	const errors: ParseError[] = []
	const value: unknown = parse(text, errors, { allowTrailingComma: true })
	if (errors.length === 0) return E.right(value)
	return E.left(
		errors.map((error) => ({
			kind: 'file-fault' as const,
			file,
			line: lineAt(text, error.offset),
			key: '',
			expected: printParseErrorCode(error.error),
		})),
	)
}

/** Creates the error for an invalid value with its line in the file. @public */
export function locateFault(
	file: string,
	text: string,
	path: readonly (string | number)[],
	expected: string,
): FileFault {
	const root = parseTree(text, [], { allowTrailingComma: true })
	let node = root
	for (let depth = path.length; root && depth >= 0; depth--) {
		node = findNodeAtLocation(root, [...path.slice(0, depth)])
		if (node) break
	}
	const line = lineAt(text, node?.offset ?? 0)
	return { kind: 'file-fault', file, line, key: path.join('.'), expected }
}

function lineAt(text: string, offset: number): number {
	let line = 1
	for (let i = 0; i < offset && i < text.length; i++) if (text[i] === '\n') line++
	return line
}
