// Prints docs/operators/settings.md from the schema of the settings.
import { z } from 'zod'
import { settingsSchema } from '@stallwing/router'

const schema = z.toJSONSchema(settingsSchema, { io: 'input' })
const rows = []

function walk(node, path, required) {
	for (const [name, child] of Object.entries(node.properties ?? {})) {
		const full = path === '' ? name : `${path}.${name}`
		const needed = (node.required ?? []).includes(name) && required
		if (child.properties) {
			walk(child, full, needed)
			continue
		}
		const standard = child.default === undefined ? '' : `\`${JSON.stringify(child.default)}\``
		rows.push(
			`| \`${full}\` | ${child.type} | ${needed ? 'yes' : ''} | ${standard} | ${child.description ?? ''} |`,
		)
	}
}

walk(schema, '', true)
process.stdout.write(`# Settings of a router

JSON with comments. Made from the schema by \`npm run docs:settings\`.

| key | type | needed | default | meaning |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`)
