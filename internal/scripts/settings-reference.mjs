// Generates docs/operators/settings.md from the settings schema and prints it.
import { z } from 'zod'
import { settingsSchema } from '@stallwing/router'

const schema = z.toJSONSchema(settingsSchema, { io: 'input' })
const rows = []

function addRows(node, path, isParentRequired) {
	for (const [name, child] of Object.entries(node.properties ?? {})) {
		const fullPath = path === '' ? name : `${path}.${name}`
		const isRequired = (node.required ?? []).includes(name) && isParentRequired
		if (child.properties) {
			addRows(child, fullPath, isRequired)
			continue
		}
		const defaultValue = child.default === undefined ? '' : `\`${JSON.stringify(child.default)}\``
		rows.push(
			`| \`${fullPath}\` | ${child.type} | ${isRequired ? 'yes' : ''} | ${defaultValue} | ${child.description ?? ''} |`,
		)
	}
}

addRows(schema, '', true)
process.stdout.write(`# Settings of a router

JSON with comments. Made from the schema by \`npm run docs:settings\`.

| key | type | needed | default | meaning |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`)
