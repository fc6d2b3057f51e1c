/** Starts boxes: the project's program with the command of the deploy file, and settings as those of a small deployment. */
import { spawn } from 'node:child_process'
import { createServer } from 'node:net'
import { openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { get } from 'node:http'
import { sleep } from './sleep.mjs'

export const ROOT = new URL('../..', import.meta.url).pathname
/** The words of `run` in deploy/system.toml. */
const ARGUMENTS = ['--max-old-space-size=110', '--max-semi-space-size=4', 'target/stallwing.js']
export const BOUNDS = {
	SeedLagS: 3,
	AddrReuseS: 2,
	ContactMs: 3000,
	AckMs: 4000,
	CatchUpS: 4,
	DrainMs: 2000,
	GraceS: 8,
	LossSlackMs: 200,
	ConfigApplyMs: 2000,
	RollbackSlackMs: 250,
	PartitionMaxMs: 5000,
	RevokeFailClosed: false,
	RevokeMs: 5000,
	RetryBudgetRatio: 0.2,
	RetryWindowS: 10,
	BudgetSlack: 54,
	RecoveryS: 12,
	IterationMs: 120,
	RetryAfterS: 10,
	settle_ms: 1500,
}

/** Free ports of the loopback address, all of them free at the same time. */
export async function freePorts(count) {
	const servers = []
	for (let i = 0; i < count; i++) {
		const server = createServer()
		await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
		servers.push(server)
	}
	const ports = servers.map((server) => server.address().port)
	await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
	return ports
}

export class Box {
	constructor({ name, zone, zones, storeAddress, folder, ports }) {
		const [http, readiness, admin, peers] = ports
		Object.assign(this, { name, zone, zones, storeAddress, folder, http, readiness, admin, peers })
	}

	/** Starts a process of this box; `isFirst` if the system as a whole starts for the first time. */
	start(isFirst) {
		const file = join(this.folder, `${this.name}.json`)
		writeFileSync(file, JSON.stringify(this.settings(isFirst)))
		const log = openSync(join(this.folder, `${this.name}.log`), 'a')
		this.process = spawn(process.execPath, ARGUMENTS, {
			cwd: ROOT,
			env: { PATH: process.env.PATH, STALLWING_NODE_FILE: file },
			stdio: ['ignore', log, log],
		})
		this.exited = new Promise((resolve) => {
			this.process.once('exit', (code, signal) => resolve({ code, signal, at: performance.now() }))
		})
	}

	settings(isFirst) {
		const address = (port) => `127.0.0.1:${port}`
		return {
			NodeName: this.name,
			Role: 'router',
			MachineClass: 'edge',
			Serves: ['edge', 'control_plane'],
			Ip: '127.0.0.1',
			Zone: this.zone,
			Region: 'rosario',
			Zones: Object.fromEntries(this.zones.map((zone) => [zone, 'rosario'])),
			Listen: {
				Http: address(this.http),
				Readiness: address(this.readiness),
				Admin: address(this.admin),
			},
			EphemeralPorts: [this.peers, this.peers],
			SeedNodes: [],
			Bootstrap: isFirst,
			CountsAsLoss: false,
			Limits: {
				CpuQuota: 0.675,
				CpuCores: 1,
				MemoryMb: 350,
				MaxFds: 4100,
				BandwidthMbps: 1000,
				DiskMb: 0,
			},
			DataDir: null,
			Discovery: 'platform',
			EntryType: 'vip',
			HeartbeatMs: 1200,
			Contracts: [
				'base',
				'drain',
				'config',
				'cost',
				'retry',
				'recover',
				'engine',
				'stream',
				'tenants',
				'platform',
			],
			FaultTolerance: { MaxNodesLost: 2, Zones: 1, MaxRegionsLost: 0 },
			Bounds: BOUNDS,
			Platform: {
				Address: this.storeAddress,
				form: 'kv',
				writes_per_s: 400,
				reads_per_s: 2000,
				HistoryS: 20,
				value_bytes: 1048576,
				ttl_min_ms: 1000,
			},
		}
	}

	isReady() {
		return new Promise((resolve) => {
			const request = get(
				{ host: '127.0.0.1', port: this.readiness, path: '/readyz', agent: false },
				(response) => {
					response.resume()
					resolve(response.statusCode === 200)
				},
			)
			request.setTimeout(500, () => request.destroy())
			request.on('error', () => resolve(false))
		})
	}

	async waitUntilReady(timeoutMs) {
		const until = performance.now() + timeoutMs
		while (!(await this.isReady())) {
			if (performance.now() > until) throw new Error(`${this.name} is not ready`)
			await sleep(50)
		}
	}

	signal(name) {
		this.process.kill(name)
	}

	async stop() {
		if (!this.process || this.process.exitCode !== null || this.process.signalCode !== null) return
		this.process.kill('SIGKILL')
		await this.exited
	}
}
