import type { Bundle } from '@stallwing/core'

const SECTIONS = ['zones', 'models', 'services', 'targets', 'accounts', 'budgets'] as const

/** Lines that say what a bundle changes: added, removed and changed rows by name. */
export function diffBundles(current: Bundle | undefined, next: Bundle): string[] {
	const lines: string[] = [`version ${current?.version ?? 0} -> ${next.version}`]
	for (const section of SECTIONS) {
		const before = rowsByName(current?.[section] ?? [])
		const after = rowsByName(next[section])
		for (const [name, text] of after) {
			const old = before.get(name)
			if (old === undefined) lines.push(`+ ${section} ${name} ${text}`)
			else if (old !== text) lines.push(`~ ${section} ${name} ${old} -> ${text}`)
		}
		for (const name of before.keys()) if (!after.has(name)) lines.push(`- ${section} ${name}`)
	}
	const policy = JSON.stringify(next.policy)
	if (current && JSON.stringify(current.policy) !== policy) lines.push(`~ policy ${policy}`)
	return lines
}

function rowsByName(list: readonly { readonly name: string }[]): Map<string, string> {
	return new Map(list.map((row) => [row.name, JSON.stringify(row)]))
}
