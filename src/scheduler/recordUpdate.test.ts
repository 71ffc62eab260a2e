import test from 'ava'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import { StoreUnknownError } from '../model/errors.ts'
import type { Store } from '../ports/store.ts'
import { FakeStore } from './testing/fakeStore.ts'
import { InstanceFaults } from './testing/instanceFaults.ts'
import { SeededRandom } from '../adapters/random/seededRandom.ts'
import { RecordUpdater } from './recordUpdate.ts'

test('a write whose response was lost cannot be applied after the update has returned without the change', async t => {
  const clock = new ManualClock()
  const fake = new FakeStore()
  fake.write('record', 'old', 0)
  const store: Store = fake.connect(new InstanceFaults(new SeededRandom(1)), clock)
  let calls = 0
  const losing: Store = {
    ...store,
    put: async (key, value, options) => {
      if (calls++ > 0) return await store.put(key, value, options)
      clock.sleep(5_000).then(() => fake.write(key, value, options.expectedVersion), () => {})
      throw new StoreUnknownError('response lost')
    }
  }
  let wanted: string | undefined = 'new'
  const update = new RecordUpdater(losing, clock).update('record', undefined, () => wanted)
  await clock.settle()
  wanted = undefined
  await clock.advance(1_000)
  t.is((await update)?.value, 'old')
  await clock.advance(10_000)
  t.is(fake.read('record')?.value, 'old')
})
