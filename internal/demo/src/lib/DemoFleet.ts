import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { EngineModel } from '@stallwing/standins'
import { DEMO_ACCOUNTS, demoBundle, type DemoTarget } from './demoBundle.js'
import { ProcessGroup, type StartedProcess } from './ProcessGroup.js'

const CLI_PROGRAM = fileURLToPath(
	new URL('../../../../apps/stallwing/bin/stallwing.js', import.meta.url),
)
const STANDIN_PROGRAM = fileURLToPath(
	new URL('../../../../packages/standins/dist/main.js', import.meta.url),
)
const READY_TIMEOUT_MS = 20_000
const READY_POLL_PERIOD_MS = 50

/** Options of a fleet. */
export interface FleetOptions {
	readonly zones: number
	readonly routersPerZone: number
	readonly enginesPerZone: number
	readonly servicesPerZone: number
	/** Performance model of the engines. */
	readonly engineModel: Partial<EngineModel>
	/** Called with each log line of each router. */
	readonly onLogLine: (line: string) => void
}

/** Two availability zones, each with two routers, two engines and one service. */
export const DEFAULT_FLEET_OPTIONS: FleetOptions = {
	zones: 2,
	routersPerZone: 2,
	enginesPerZone: 2,
	servicesPerZone: 1,
	engineModel: {},
	onLogLine: () => undefined,
}

/** A started router process. */
export interface FleetRouter {
	readonly box: string
	readonly zone: string
	readonly url: string
	readonly adminUrl: string
	readonly pid: number
	readonly process: StartedProcess
}

/** A started target process. */
export interface FleetTarget extends DemoTarget {
	readonly pid: number
	readonly process: StartedProcess
}

interface Operator {
	readonly name: string
	readonly publicKey: string
	readonly privateKeyFile: string
}

/** A fleet of router processes on the loopback address, with stand-ins for platform and targets. */
export class DemoFleet {
	readonly routers: FleetRouter[] = []
	readonly targets: FleetTarget[] = []
	readonly operatorConfigFile: string
	platform = { url: '', pid: 0 }
	/** The initial bundle, as a parsed document. */
	bundle: unknown
	private readonly processes = new ProcessGroup()
	private readonly directory = mkdtempSync(join(tmpdir(), 'stallwing-demo-'))
	private readonly operators: Operator[] = []
	private readonly options: FleetOptions

	constructor(options: Partial<FleetOptions> = {}) {
		this.options = { ...DEFAULT_FLEET_OPTIONS, ...options }
		this.operatorConfigFile = join(this.directory, 'author.jsonc')
	}

	/** Starts all processes and activates the initial bundle through the command line. */
	async start(): Promise<void> {
		const platform = await this.startStandin('platform', {})
		this.platform = {
			url: String(platform.readyMessage.url),
			pid: Number(platform.readyMessage.pid),
		}
		const zones = this.zoneNames()
		for (const zone of zones) await this.startTargets(zone)
		for (const name of ['author', 'approver']) await this.addOperator(name)
		const boxes = zones.flatMap((zone) =>
			Array.from({ length: this.options.routersPerZone }, (_, i) => ({
				box: `${zone}-box-${i + 1}`,
				zone,
			})),
		)
		const routers = await Promise.all(boxes.map(({ box, zone }) => this.startRouter(box, zone)))
		this.routers.push(...routers)
		this.writeOperatorConfigs()
		const text = demoBundle(zones, this.targets)
		this.bundle = JSON.parse(text.slice(text.indexOf('{')))
		await this.acceptBundle(text)
		await this.waitUntilReady()
	}

	/** Path of a file in the fleet's temporary directory. */
	filePath(name: string): string {
		return join(this.directory, name)
	}

	/** Runs a stallwing command as one of the two operators, `author` or `approver`. */
	runAs(
		operator: string,
		...args: string[]
	): Promise<{ code: number | null; out: string; err: string }> {
		return this.processes.run([
			CLI_PROGRAM,
			'--operator-config',
			this.filePath(`${operator}.jsonc`),
			...args,
		])
	}

	/**
	 * Proposes and approves a changed version of the initial bundle, but does not activate it. Returns
	 * its hash.
	 */
	async approveBundleVersion(
		version: number,
		change: (bundle: DemoBundle) => void = noChange,
	): Promise<string> {
		const bundle = structuredClone(this.bundle) as DemoBundle
		change(bundle)
		const file = this.filePath(`bundle-${version}-${Math.floor(performance.now())}.jsonc`)
		writeFileSync(file, JSON.stringify({ ...bundle, version }))
		const hash = (await this.runAsOrThrow('author', 'bundle', 'propose', file)).trim()
		await this.runAsOrThrow('approver', 'bundle', 'sign', hash)
		return hash
	}

	/** Runs a stallwing command as the author. */
	runCli(...args: string[]): Promise<{ code: number | null; out: string; err: string }> {
		return this.processes.run([CLI_PROGRAM, '--operator-config', this.operatorConfigFile, ...args])
	}

	/** Returns the full command line of a stallwing command. */
	commandLine(...args: string[]): string[] {
		return [process.execPath, CLI_PROGRAM, '--operator-config', this.operatorConfigFile, ...args]
	}

	/** Starts a router process. A box name that was used before gets a new incarnation. */
	async startRouter(box: string, zone: string): Promise<FleetRouter> {
		const file = join(this.directory, `${box}.jsonc`)
		const settings = {
			box,
			zone,
			listen: { callers: { port: 0 }, peers: { port: 0 }, admin: { port: 0 } },
			platform: { url: this.platform.url },
			operators: this.operators.map(({ name, publicKey }) => ({ name, publicKey })),
		}
		writeFileSync(file, `// Settings of ${box}.\n${JSON.stringify(settings, null, '\t')}\n`)
		const args = [CLI_PROGRAM, 'router', '--config', file, '--ready-fd']
		const process = await this.processes.start(args, 'stderr', this.options.onLogLine)
		const { callers, admin } = process.readyMessage as { callers: string; admin: string }
		return { box, zone, url: callers, adminUrl: admin, pid: process.child.pid ?? 0, process }
	}

	/** Restarts the box of a router that has exited, and waits until it is ready. */
	async replaceRouter(exited: FleetRouter): Promise<void> {
		const replacement = await this.startRouter(exited.box, exited.zone)
		this.routers.splice(this.routers.indexOf(exited), 1, replacement)
		this.writeOperatorConfigs()
		await this.waitUntilReady()
	}

	/** Waits until every running router is ready. Throws {@link FleetNotReady} after a timeout. */
	async waitUntilReady(): Promise<void> {
		const deadline = Date.now() + READY_TIMEOUT_MS
		for (const router of this.routers) {
			if (router.process.child.exitCode !== null || router.process.child.signalCode) continue
			while (!(await isReady(router.url))) {
				if (Date.now() > deadline) throw new FleetNotReady(router.box)
				await new Promise((resolve) => setTimeout(resolve, READY_POLL_PERIOD_MS))
			}
		}
	}

	/** Stops all processes, routers first, and removes the temporary directory. */
	async stop(): Promise<void> {
		const routerProcesses = this.routers.map((router) => router.process)
		await this.processes.stop(routerProcesses.filter((started) => started.child.exitCode === null))
		await this.processes.stopAll()
		rmSync(this.directory, { recursive: true, force: true })
	}

	private zoneNames(): string[] {
		return Array.from({ length: this.options.zones }, (_, i) => `rosario-${'abcdefgh'[i] ?? i}`)
	}

	private startStandin(kind: string, options: object): Promise<StartedProcess> {
		return this.processes.start([STANDIN_PROGRAM, kind, '0', JSON.stringify(options)], 'stdout')
	}

	private async startTargets(zone: string): Promise<void> {
		const { enginesPerZone, servicesPerZone, engineModel } = this.options
		const kinds = [
			...Array.from({ length: enginesPerZone }, () => 'engine' as const),
			...Array.from({ length: servicesPerZone }, () => 'service' as const),
		]
		const model = { ...DEFAULT_ENGINE_MODEL, ...engineModel }
		const started = await Promise.all(
			kinds.map(async (kind, i) => {
				const process = await this.startStandin(kind, kind === 'engine' ? { model } : {})
				const url = String(process.readyMessage.url)
				const name = `${zone}-${kind}-${i + 1}`
				return { name, zone, kind, url, pid: Number(process.readyMessage.pid), process }
			}),
		)
		this.targets.push(...started)
	}

	private async addOperator(name: string): Promise<void> {
		const privateKeyFile = join(this.directory, `${name}.pem`)
		const created = await this.processes.run([CLI_PROGRAM, 'operator', 'key', name, privateKeyFile])
		const { publicKey } = JSON.parse(created.out) as { publicKey: string }
		this.operators.push({ name, publicKey, privateKeyFile })
	}

	private writeOperatorConfigs(): void {
		const operators = this.operators.map(({ name, publicKey }) => ({ name, publicKey }))
		for (const { name, privateKeyFile } of this.operators) {
			const config = {
				platform: this.platform.url,
				operator: { name, privateKeyFile },
				operators,
				routers: this.routers.map((router) => router.adminUrl),
			}
			writeFileSync(join(this.directory, `${name}.jsonc`), JSON.stringify(config, null, '\t'))
		}
	}

	private async acceptBundle(text: string): Promise<void> {
		const file = join(this.directory, 'bundle.jsonc')
		writeFileSync(file, text)
		const hash = (await this.runAsOrThrow('author', 'bundle', 'propose', file)).trim()
		await this.runAsOrThrow('approver', 'bundle', 'sign', hash)
		await this.runAsOrThrow('author', 'bundle', 'accept', hash)
	}

	private async runAsOrThrow(operator: string, ...args: string[]): Promise<string> {
		const result = await this.runAs(operator, ...args)
		if (result.code !== 0) throw new CommandFailed(args.join(' '), result.err)
		return result.out
	}
}

/** Parts of the demo bundle that tests modify. */
export interface DemoBundle {
	targets: { name: string; leaving?: boolean }[]
	budgets: { name: string; prepaid: number }[]
}

function noChange(): void {
	return undefined
}

/** Fast engines keep the demo short. */
const DEFAULT_ENGINE_MODEL: EngineModel = {
	batchLimit: 32,
	stepMs: 4,
	stepPerRequestMs: 0.1,
	prefillPerStep: 4_096,
	prefixCacheEntries: 64,
}

async function isReady(url: string): Promise<boolean> {
	const reply = await fetch(`${url}/readyz`)
	await reply.text()
	return reply.ok
}

/** Thrown when a router is not ready in time. */
export class FleetNotReady extends Error {
	readonly kind = 'fleet-not-ready'
	constructor(readonly box: string) {
		super(`${box} did not become ready`)
	}
}

/** Thrown when a stallwing command fails. */
export class CommandFailed extends Error {
	readonly kind = 'command-failed'
	constructor(command: string, message: string) {
		super(`stallwing ${command}: ${message}`)
	}
}

/** Document that `npm run demo -- --stay` writes when the fleet is ready. */
export function readyDocument(fleet: DemoFleet): Record<string, unknown> {
	return {
		routers: fleet.routers.map(({ box, zone, url, pid }) => ({ box, zone, url, pid })),
		platform: fleet.platform,
		targets: fleet.targets.map(({ name, zone, kind, url, pid }) => ({
			name,
			zone,
			kind,
			url,
			pid,
		})),
		accounts: DEMO_ACCOUNTS.map(({ name, key, budget }) => ({ name, key, budget })),
		statusCommand: fleet.commandLine('status', '--json'),
		budgetCommand: fleet.commandLine('budget', 'show', '--json'),
	}
}
