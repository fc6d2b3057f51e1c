import type { Bundle } from '@stallwing/core'

const SECTIONS = ['zones', 'models', 'services', 'targets', 'accounts', 'budgets'] as const

/** Lists the added, removed and changed rows of each section, one line each. */
export function diffBundles(current: Bundle | undefined, next: Bundle): string[] {
	const lines: string[] = [`version ${current?.version ?? 0} -> ${next.version}`]
	for (const section of SECTIONS) {
		const before = rowsByName(current?.[section] ?? [])
		const after = rowsByName(next[section])
		for (const [name, newText] of after) {
			const oldText = before.get(name)
			if (oldText === undefined) lines.push(`+ ${section} ${name} ${newText}`)
			else if (oldText !== newText) lines.push(`~ ${section} ${name} ${oldText} -> ${newText}`)
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
