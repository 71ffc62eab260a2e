import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { createLogger } from '../observability/logger.ts'
import { parseDesiredState } from '../platform/desiredState.ts'
import { DesiredStateWatcher } from './desiredStateWatcher.ts'
import { MemoryTransactionalStore } from './testing/memoryTransactionalStore.ts'

/** A store whose pages have one item and whose watches end after 20 ms; counts its calls. */
class PagedStore extends MemoryTransactionalStore {
  readonly calls: string[] = []
  readonly clock = new ManualClock()
  losesHistory = false
  /** Called before each page after the first. */
  onFurtherPage: () => void = () => {}

  override async get (key: string): ReturnType<MemoryTransactionalStore['get']> {
    this.calls.push(`get ${key}`)
    return await super.get(key)
  }

  override async listPage (prefix: string, after = ''): ReturnType<MemoryTransactionalStore['listPage']> {
    this.calls.push(`list ${prefix}`)
    if (after !== '') this.onFurtherPage()
    const page = await super.listPage(prefix, after)
    return { ...page, items: page.items.slice(0, 1), hasMore: page.items.length > 1 }
  }

  override async watch (prefix: string, after: number): ReturnType<MemoryTransactionalStore['watch']> {
    this.calls.push(`watch ${prefix}`)
    await this.clock.sleep(20)
    if (!this.losesHistory) return await super.watch(prefix, after)
    this.losesHistory = false
    return { outcome: 'history-lost' }
  }
}

function createWatcher (): { readonly clock: ManualClock, readonly store: PagedStore, readonly watcher: DesiredStateWatcher } {
  const store = new PagedStore()
  const { clock } = store
  const logger = createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] })
  const watcher = new DesiredStateWatcher({ store, prefix: 'op/', key: 'op/config', evacuationPrefix: 'op/evacuate/', parse: parseDesiredState, clock, logger })
  return { clock, store, watcher }
}

// Guards against a process that ends, or an evacuation that is ignored, because of what an operator's key contains.
test('malformed values and odd keys: only the name in the key counts, and the desired state stays in force', async t => {
  const { clock, store, watcher } = createWatcher()
  store.put('op/config', '{"version":3}')
  for (const [key, value] of [['op/evacuate/attica-a', 'no json'], ['op/evacuate/', '{}'], ['op/evacuate', '{}'], ['op/evacuated/x', '{}'], ['op/wave/1', '{"zone":"attica-b"}'], ['op/evacuate/__proto__', ''], ['op/evacuate/a/b', 'null']] as const) store.put(key, value)
  watcher.follow()
  await clock.advance(100)
  t.deepEqual(watcher.evacuations.names, ['attica-a', '__proto__', 'a/b'])
  t.is(watcher.state.version, 3)
  store.put('op/evacuate/constructor', '\u0000')
  store.put('op/config', 'no json')
  store.remove('op/evacuate/a/b')
  await clock.advance(100)
  t.deepEqual(watcher.evacuations.names, ['attica-a', '__proto__', 'constructor'])
  t.false(watcher.evacuations.covers('toString'))
  t.is(watcher.state.version, 3)
  watcher.pause()
})

// Guards against additional load of the store, and against evacuations that are missed between two pages or with the history.
test('one listing and one watch serve the desired state and the evacuations, also when the history is lost or a page changes meanwhile', async t => {
  const { clock, store, watcher } = createWatcher()
  let changes = 0
  watcher.onEvacuationsChanged(() => { changes += 1 })
  store.put('op/config', '{"version":1}')
  watcher.follow()
  await clock.advance(200)
  t.deepEqual([...new Set(store.calls)], ['list op/', 'watch op/'])
  t.is(store.calls.filter(call => call.startsWith('list')).length, 1)
  t.is(changes, 0)
  store.put('op/evacuate/attica-a', '{}')
  await clock.advance(50)
  t.deepEqual(watcher.evacuations.names, ['attica-a'])
  store.put('op/wave/1', '{}')
  store.onFurtherPage = () => {
    store.onFurtherPage = () => {}
    store.remove('op/config')
    store.put('op/a-first', '{}')
    store.put('op/evacuate/attica-b', '{}')
    store.remove('op/evacuate/attica-a')
  }
  store.losesHistory = true
  await clock.advance(300)
  t.deepEqual(watcher.evacuations.names, ['attica-b'])
  t.false(store.calls.includes('get op/config'))
  watcher.pause()
  store.remove('op/evacuate/attica-b')
  await clock.advance(300)
  t.deepEqual(watcher.evacuations.names, ['attica-b'], 'what is known stays in force')
  watcher.follow()
  await watcher.confirmed
  t.is(watcher.evacuations.size, 0)
  watcher.pause()
})
