/** Applies changes of the settings file while the process runs. */
import { isDeepStrictEqual } from 'node:util'
import type { Component } from '../lifecycle/component.ts'
import { PeriodicTask } from '../lifecycle/periodicTask.ts'
import type { Logger } from '../observability/logger.ts'
import type { Clock } from '../ports/clock.ts'

/** Polling interval, since the file may change without a signal. Below the 2.5 s within which a change must take effect. */
const POLL_INTERVAL_MS = 1_500

export interface SettingsReloaderOptions<Settings extends object> {
  /** Settings in force at startup. */
  readonly initial: Settings
  /** Reads the file; throws if it is invalid. */
  readonly read: () => Settings
  /** Names of settings that take effect without a restart. */
  readonly reloadable: readonly (keyof Settings & string)[]
  readonly onChanged: (settings: Settings) => void
  readonly clock: Clock
  readonly logger: Logger
}

/**
 * Reads the file on request and periodically. An invalid file is ignored, and so are changes to settings that need a
 * restart. Each is logged once per file content.
 *
 * @example
 * const reloader = new SettingsReloader({ initial, read: () => readSettings(path), reloadable: ['storeAddress'], onChanged, clock, logger })
 * await reloader.start()
 * process.on('SIGHUP', () => reloader.reload('SIGHUP'))
 */
export class SettingsReloader<Settings extends object> implements Component {
  readonly name = 'settings'
  readonly #options: SettingsReloaderOptions<Settings>
  readonly #pollTask: PeriodicTask
  #current: Settings
  /** Settings from the last valid read of the file, whether applied or not. */
  #lastRead: Settings
  #lastError = ''

  constructor (options: SettingsReloaderOptions<Settings>) {
    this.#options = options
    this.#current = options.initial
    this.#lastRead = options.initial
    this.#pollTask = new PeriodicTask('settings', options.clock, POLL_INTERVAL_MS, () => this.#readAndApply('file'),
      error => options.logger.error({ error: String(error) }, 'the settings could not be applied'))
  }

  /** Settings in force. */
  get current (): Settings {
    return this.#current
  }

  async start (): Promise<void> {
    await this.#pollTask.start()
  }

  async stop (): Promise<void> {
    await this.#pollTask.stop()
  }

  /** Reads the file now. `source` is logged as the reason. */
  reload (source: string): void {
    this.#options.logger.info({ source }, 'reload of the settings')
    this.#readAndApply(source)
  }

  #readAndApply (source: string): void {
    const { read, logger } = this.#options
    let settings: Settings
    try {
      settings = read()
    } catch (error) {
      if (String(error) !== this.#lastError) logger.error({ source, error: String(error) }, 'the settings can not be used; keeping the current settings')
      this.#lastError = String(error)
      return
    }
    this.#lastError = ''
    if (isDeepStrictEqual(settings, this.#lastRead)) return
    this.#lastRead = settings
    this.#apply(settings, source)
  }

  #apply (settings: Settings, source: string): void {
    const { reloadable, onChanged, logger } = this.#options
    const names = (Object.keys(settings) as (keyof Settings & string)[]).filter(name => !isDeepStrictEqual(settings[name], this.#current[name]))
    const applied = names.filter(name => reloadable.includes(name))
    this.#current = { ...this.#current, ...Object.fromEntries(applied.map(name => [name, settings[name]])) }
    logger.info({ source, applied, needRestart: names.filter(name => !applied.includes(name)) }, 'the settings have changed')
    if (applied.length > 0) onChanged(this.#current)
  }
}
