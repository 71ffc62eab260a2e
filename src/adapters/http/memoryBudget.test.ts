import test from 'ava'
import { ManualClock } from '../clock/manualClock.ts'
import { BodyCollector, MemoryBudget } from './memoryBudget.ts'
import { findPartEnd, RequestInput } from './requestInput.ts'

const SEGMENT = 4_096

function createBudget (segments: number): { readonly clock: ManualClock, readonly budget: MemoryBudget, open (): { readonly body: BodyCollector, readonly evictions: () => number } } {
  const clock = new ManualClock()
  const budget = new MemoryBudget(segments * SEGMENT, () => clock.monotonicMs())
  return {
    clock,
    budget,
    open () {
      let evictions = 0
      const account = budget.open({
        evict () {
          evictions += 1
          body.discard()
        }
      })
      const body: BodyCollector = new BodyCollector(budget, account)
      return { body, evictions: () => evictions }
    }
  }
}

test('a body in chunks of one byte costs no more memory than its bytes, and is read whole', t => {
  const { budget, open } = createBudget(4)
  const { body } = open()
  for (let sent = 0; sent < 10_000; sent++) t.true(body.add(Buffer.from(String(sent % 10))))
  t.is(budget.usedBytes, 3 * SEGMENT)
  t.is(body.takeText(), '0123456789'.repeat(1_000))
})

test('when memory is used up, the body that has held the most for the longest is refused, not the small new one', async t => {
  const { clock, budget, open } = createBudget(10)
  const [small, old, large] = [open(), open(), open()]
  t.true(small.body.add(Buffer.alloc(10)))
  t.true(old.body.add(Buffer.alloc(3 * SEGMENT)))
  await clock.advance(5_000)
  t.true(large.body.add(Buffer.alloc(5 * SEGMENT)))
  const next = open()
  t.true(next.body.add(Buffer.alloc(2 * SEGMENT)))
  t.deepEqual([small, old, large, next].map(({ evictions }) => evictions()), [0, 1, 0, 0])
  t.is(budget.usedBytes, 8 * SEGMENT)
})

test('a body that would take the most itself is refused instead of others, and nothing of it stays charged', t => {
  const { budget, open } = createBudget(4)
  const [small, large] = [open(), open()]
  t.true(small.body.add(Buffer.alloc(SEGMENT)))
  t.false(large.body.add(Buffer.alloc(8 * SEGMENT)))
  large.body.discard()
  t.is(small.evictions(), 0)
  t.is(budget.usedBytes, SEGMENT)
})

test('the body of a request in progress is not evicted, since its outcome would be lost', async t => {
  const clock = new ManualClock()
  const budget = new MemoryBudget(100, () => clock.monotonicMs())
  const waiting = budget.open({ evict: () => t.fail() })
  t.true(waiting.charge(100))
  waiting.pin(100)
  await clock.advance(60_000)
  t.false(budget.open({ evict: () => t.fail() }).charge(1))
  waiting.releasePinned(100)
  t.true(budget.open({ evict: () => t.fail() }).charge(100))
})

test('a closed connection releases what it held once, also if its requests end later', t => {
  const budget = new MemoryBudget(100, () => 0)
  const account = budget.open({ evict: () => {} })
  t.true(account.charge(40))
  budget.close(account)
  account.release(40)
  t.is(budget.usedBytes, 0)
  t.false(account.charge(1))
})

test('no part of the input holds more than two requests, however short they are, and no byte is lost', t => {
  const request = 'GET / HTTP/1.0\n\n'
  const text = `${request.repeat(100)}POST / HTTP/1.1\r\nhost: a\r\n\r\nbody\n\n\n\n\r\n\r\n${request.repeat(3)}GET /`
  const input = new RequestInput()
  input.append(Buffer.from(text.slice(0, 500)))
  input.append(Buffer.from(text.slice(500)))
  const parts: string[] = []
  while (!input.isEmpty) parts.push(String(input.take()))
  t.is(parts.join(''), text)
  t.true(parts.every(part => part.split('HTTP/').length <= 3))
  t.is(input.heldBytes, 0)
  t.is(findPartEnd(Buffer.from('GET / HTTP/1.1\r\nhost'), 0), -1)
})
