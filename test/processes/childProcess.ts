/** A child process started by a test or the demo: its output, signals and exit. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createInterface } from 'node:readline'

/** Output lines retained for error messages. */
const MAX_OUTPUT_LINES = 400

export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

export interface CommandResult extends ProcessExit {
  readonly output: string
  readonly errorOutput: string
}

export interface ProcessOptions {
  /** Runs the process in its own process group, so that Ctrl-C in the terminal reaches only the parent, which then stops all processes gracefully. */
  readonly ownGroup?: boolean
  readonly environment?: Readonly<Record<string, string>>
  readonly onLine?: (line: string) => void
}

/** A long-running child process. */
export class ManagedProcess {
  readonly name: string
  /** Resolves when the process has exited, for any reason. */
  readonly ended: Promise<ProcessExit>
  readonly #child: ChildProcess
  readonly #lines: string[] = []
  readonly #lineListeners = new Set<(line: string) => void>()
  #hasEnded = false
  #wasPaused = false

  constructor (name: string, command: readonly string[], { ownGroup = false, environment = {}, onLine }: ProcessOptions = {}) {
    this.name = name
    if (onLine !== undefined) this.#lineListeners.add(onLine)
    const [program = '', ...args] = command
    this.#child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'], detached: ownGroup, env: { ...process.env, ...environment } })
    this.ended = new Promise((resolve, reject) => {
      this.#child.once('error', reject)
      this.#child.once('close', (code, signal) => {
        this.#hasEnded = true
        resolve({ code, signal })
      })
    })
    this.ended.catch(() => {})
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream !== null) createInterface({ input: stream }).on('line', line => this.#recordLine(line))
    }
  }

  get pid (): number {
    return this.#child.pid ?? 0
  }

  get lines (): readonly string[] {
    return this.#lines
  }

  get hasEnded (): boolean {
    return this.#hasEnded
  }

  /** Whether the process was ever paused with SIGSTOP. */
  get wasPaused (): boolean {
    return this.#wasPaused
  }

  signal (signal: NodeJS.Signals): void {
    if (signal === 'SIGSTOP') this.#wasPaused = true
    if (!this.#hasEnded) this.#child.kill(signal)
  }

  /** Stops the process for a moment that is part of its usual speed, unlike a pause. */
  suspend (): void {
    if (!this.#hasEnded) this.#child.kill('SIGSTOP')
  }

  resume (): void {
    if (!this.#hasEnded) this.#child.kill('SIGCONT')
  }

  /** Returns the first output line that matches; rejects if the process exits without one. */
  async waitForLine (matches: (line: string) => boolean): Promise<string> {
    const known = this.#lines.find(matches)
    if (known !== undefined) return known
    return await new Promise((resolve, reject) => {
      const listener = (line: string): void => {
        if (!matches(line)) return
        this.#lineListeners.delete(listener)
        resolve(line)
      }
      this.#lineListeners.add(listener)
      this.ended.then(
        ({ code, signal }) => reject(new Error(`${this.name} exited with ${code ?? signal}:\n${this.#lines.join('\n')}`)), reject)
    })
  }

  /** Kills the process immediately, even if it is paused. */
  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.ended.catch(() => {})
  }

  /** Sends SIGTERM and waits for the process to exit. */
  async stop (): Promise<ProcessExit> {
    this.signal('SIGTERM')
    return await this.ended
  }

  #recordLine (line: string): void {
    this.#lines.push(line)
    if (this.#lines.length > MAX_OUTPUT_LINES) this.#lines.shift()
    for (const listener of [...this.#lineListeners]) listener(line)
  }
}

/** Runs a command to completion and collects its output. */
export async function runToCompletion (command: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<CommandResult> {
  const [program = '', ...args] = command
  const child = spawn(program, args, { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, ...environment } })
  let output = ''
  let errorOutput = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => { output += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { errorOutput += text })
  return await new Promise((resolve, reject) => {
    child.once('error', reject)
    child.once('close', (code, signal) => resolve({ code, signal, output, errorOutput }))
  })
}
