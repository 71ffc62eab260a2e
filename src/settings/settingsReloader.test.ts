import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { InputError } from '../model/errors.ts'
import { createLogger } from '../observability/logger.ts'
import { SettingsReloader } from './settingsReloader.ts'

interface Settings {
  readonly storeAddress: string
  readonly port: number
}

function createReloader (): { file: { content: Settings | undefined }, changes: Settings[], clock: ManualClock, reloader: SettingsReloader<Settings> } {
  const file: { content: Settings | undefined } = { content: { storeAddress: 'a:1', port: 1 } }
  const changes: Settings[] = []
  const clock = new ManualClock()
  const reloader = new SettingsReloader<Settings>({
    initial: { storeAddress: 'a:1', port: 1 },
    read: () => {
      if (file.content === undefined) throw new InputError('not TOML')
      return file.content
    },
    reloadable: ['storeAddress'],
    onChanged: settings => changes.push(settings),
    clock,
    logger: createLogger({ level: 'silent', instance: 'entry-1', dataCentre: 'howrah', secrets: [] })
  })
  return { file, changes, clock, reloader }
}

test('a changed file is applied without a restart, with or without a signal', async t => {
  const { file, changes, clock, reloader } = createReloader()
  reloader.reload('SIGHUP')
  t.deepEqual(changes, [], 'the file has not changed')
  file.content = { storeAddress: 'b:1', port: 1 }
  reloader.reload('SIGHUP')
  t.deepEqual(changes, [{ storeAddress: 'b:1', port: 1 }])
  await reloader.start()
  file.content = { storeAddress: 'c:1', port: 1 }
  await clock.advance(2_500)
  t.is(reloader.current.storeAddress, 'c:1')
  await reloader.stop()
})

test('an invalid file, or a setting that needs a restart, leaves the current settings in force', t => {
  const { file, changes, reloader } = createReloader()
  file.content = undefined
  reloader.reload('SIGHUP')
  t.deepEqual(reloader.current, { storeAddress: 'a:1', port: 1 })
  file.content = { storeAddress: 'b:1', port: 2 }
  reloader.reload('SIGHUP')
  t.deepEqual(reloader.current, { storeAddress: 'b:1', port: 1 })
  t.is(changes.length, 1)
  file.content = { storeAddress: 'b:1', port: 3 }
  reloader.reload('SIGHUP')
  t.is(changes.length, 1)
})
