/** Runs one stand-in as a process: `main.js platform|engine|service [port] [options as JSON]`. */
import { startEngine } from './lib/startEngine.js'
import { startPlatform } from './lib/startPlatform.js'
import { startService } from './lib/startService.js'

const [kind, port = '0', options = '{}'] = process.argv.slice(2)
const starters = { platform: startPlatform, engine: startEngine, service: startService }

function isKind(text: string | undefined): text is keyof typeof starters {
	return text !== undefined && text in starters
}

if (!isKind(kind)) {
	process.stderr.write('usage: main.js platform|engine|service [port] [options as JSON]\n')
	process.exit(2)
}
const running = await starters[kind]({ port: Number(port), ...(JSON.parse(options) as object) })
process.stdout.write(`${JSON.stringify({ kind, url: running.url, pid: process.pid })}\n`)
process.on('SIGTERM', () => {
	void running.close().then(() => process.exit(0))
})
