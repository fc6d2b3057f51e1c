import { spawn, type ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

const READY_TIMEOUT_MS = 20_000
const KILL_TIMEOUT_MS = 35_000

/** A process that a script started. */
export interface StartedProcess {
	readonly child: ChildProcess
	/** First JSON line that it printed. */
	readonly readyMessage: Record<string, unknown>
	readonly exited: Promise<number | null>
}

/** Starts processes for a script, and ends just those. A stallwing process starts none itself. */
export class ProcessGroup {
	private readonly running = new Set<StartedProcess>()

	/** Starts a Node program and waits for its first JSON line on the given stream. */
	async start(
		args: readonly string[],
		readyOn: 'stdout' | 'stderr',
		onLine: (line: string) => void = () => undefined,
	): Promise<StartedProcess> {
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
		const exited = new Promise<number | null>((resolve) => child.on('exit', resolve))
		const ready = this.readReadyMessage(child, readyOn, onLine)
		const failed = exited.then((code) => {
			throw new ProcessFailed(args.join(' '), code)
		})
		const first = await Promise.race([ready, failed])
		const entry: StartedProcess = { child, readyMessage: first, exited }
		this.running.add(entry)
		void exited.then(() => this.running.delete(entry))
		return entry
	}

	/** Runs a Node program to its end; returns what it printed. */
	async run(args: readonly string[]): Promise<{ code: number | null; out: string; err: string }> {
		const child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] })
		let out = ''
		let err = ''
		child.stdout.on('data', (chunk: Buffer) => (out += chunk.toString()))
		child.stderr.on('data', (chunk: Buffer) => (err += chunk.toString()))
		const code = await new Promise<number | null>((resolve) => child.on('close', resolve))
		return { code, out, err }
	}

	/** Asks every process that was started and still runs to end, and waits until all have. */
	stopAll(): Promise<void> {
		return this.stop([...this.running])
	}

	/** Asks processes to end, and waits until they have. */
	async stop(all: readonly StartedProcess[]): Promise<void> {
		for (const entry of all) {
			entry.child.kill('SIGCONT')
			entry.child.kill('SIGTERM')
		}
		const timer = setTimeout(() => {
			for (const entry of all) entry.child.kill('SIGKILL')
		}, KILL_TIMEOUT_MS)
		await Promise.all(all.map((entry) => entry.exited))
		clearTimeout(timer)
	}

	private readReadyMessage(
		child: ChildProcess,
		readyOn: 'stdout' | 'stderr',
		onLine: (line: string) => void,
	): Promise<Record<string, unknown>> {
		return new Promise((resolve, reject) => {
			const timer = setTimeout(
				() => reject(new ProcessFailed('no first line', null)),
				READY_TIMEOUT_MS,
			)
			for (const name of ['stdout', 'stderr'] as const) {
				const stream = child[name]
				if (!stream) continue
				createInterface({ input: stream }).on('line', (line) => {
					if (name === readyOn && line.startsWith('{')) {
						clearTimeout(timer)
						resolve(JSON.parse(line) as Record<string, unknown>)
					}
					onLine(line)
				})
			}
		})
	}
}

/** A process that ended before it was ready. */
export class ProcessFailed extends Error {
	readonly kind = 'process-failed'
	constructor(
		readonly command: string,
		readonly exitCode: number | null,
	) {
		super(`${command} ended with ${String(exitCode)} before it was ready`)
	}
}
