import test from 'ava'
import fc from 'fast-check'
import { ManualClock } from '../adapters/clock/manualClock.ts'
import type { Change } from '../model/change.ts'
import { AnswerDecoder } from '../membership/answerDecoder.ts'
import type { ExchangeSender } from '../model/digest.ts'
import { incarnationKey } from '../model/identity.ts'
import type { ListedInstance } from '../ports/instanceList.ts'
import type { ExchangeAnswer } from '../ports/peerClient.ts'
import { MemoryStore } from './testing/memoryStore.ts'
import { createNode, draft } from './testing/testNode.ts'
import type { TestNode } from './testing/testNode.ts'

const SEED = 20_260_412
const RUNS = Number(process.env['FRESHNESS_RUNS'] ?? 2_000)
const NAMES = ['a', 'b', 'c', 'd']
/** Two data centres, since instances relay what they receive from another data centre within their own. */
const DATA_CENTRES: Readonly<Record<string, string>> = { a: 'howrah', b: 'salt-lake', c: 'howrah', d: 'salt-lake' }

interface Message {
  readonly from: TestNode
  readonly to: TestNode
  readonly sentAt: number
  readonly registering: boolean
  readonly sender: ExchangeSender
  answer?: ExchangeAnswer
}

type Command = readonly [kind: typeof KINDS[number], first: number, second: number]

const KINDS = [
  'advance', 'advance', 'submit', 'submit', 'submit', 'submit', 'refresh', 'refresh', 'send', 'send', 'answer', 'answer', 'deliver', 'deliver',
  'exchange', 'exchange', 'exchangeAll', 'exchangeAll', 'adopt', 'storeDown', 'storeUp', 'storeUp', 'loseAnswers', 'delayWrites',
  'holdAnswers', 'release', 'release', 'release', 'crash', 'restart', 'restart', 'restart', 'deregister', 'list', 'oldList', 'listEverywhere', 'maintain'
] as const

/** The simulated instances, their messages in flight and the outcomes reported to operators. */
class World {
  readonly clock = new ManualClock()
  readonly store = new MemoryStore()
  readonly nodes: TestNode[] = []
  readonly messages: Message[] = []
  readonly readers = new Map<TestNode, AnswerDecoder>()
  readonly acceptedAt: number[] = []
  readonly written: { readonly version: number, readonly at: number, readonly id: string }[] = []
  readonly lists: { readonly at: number, readonly instances: readonly ListedInstance[] }[] = []
  readonly gates = new Map<TestNode, () => void>()
  created = 0
  quietUses = 0

  constructor () {
    this.store.onWrite = (key, value) => {
      if (!key.startsWith('configuration/change/') || value === undefined) return
      const { version, id } = JSON.parse(value) as Change
      this.written.push({ version, id, at: this.clock.monotonicMs() })
    }
    for (const name of NAMES.slice(0, 3)) this.start(name)
  }

  start (name: string): void {
    const node = createNode(this.store, this.clock, name, DATA_CENTRES[name] ?? 'howrah', String(++this.created))
    this.readers.set(node, new AnswerDecoder())
    this.nodes.push(node)
    this.recordList()
    const { ref, dataCentre } = node
    node.log.load().catch(() => {})
    node.registry.register({ ref, dataCentre, peerAddress: `${name}:1` }).catch(() => {})
  }

  /**
   * Records the current instance list. Reads with a lag return an earlier record, so that starts as well as ends may be
   * missing from what an instance sees.
   */
  recordList (): void {
    this.lists.push({
      at: this.clock.monotonicMs(),
      instances: this.nodes.map(({ ref }) =>
        ({ ...ref, dataCentre: 'howrah', region: 'east', peerAddress: `${ref.name}:1`, leaving: false }))
    })
  }

  stop (node: TestNode): void {
    node.log.close()
    this.nodes.splice(this.nodes.indexOf(node), 1)
    this.recordList()
  }

  readList (node: TestNode, lagMs: number): void {
    const now = this.clock.monotonicMs()
    const seen = this.lists.findLast(list => list.at <= now - lagMs) ?? this.lists[0]
    node.registry.observeList(seen?.instances ?? [], now)
  }

  send (from: TestNode, to: TestNode): Message {
    const registering = !from.registry.mayAccept
    const { ref, state, configurationVersion, ...place } = from.describe()
    const known = this.readers.get(from)?.lastAnswerFrom(to.ref.name)
    // Every other message requests all relayed entries, as an instance does that cannot reach the others itself.
    const unanswered = this.messages.length % 2 === 0 ? NAMES : []
    const sender = { ref, state, configurationVersion, place, known, unanswered, withoutLoad: false }
    const message = { from, to, sentAt: this.clock.monotonicMs(), registering, sender }
    this.messages.push(message)
    return message
  }

  answer (message: Message): void {
    const { to, sender, registering } = message
    if (!this.nodes.includes(to)) return
    to.table.noteRequest(sender)
    if (registering && sender.place !== undefined) to.registry.acknowledge({ ref: sender.ref, ...sender.place })
    to.table.setOwnDigest(to.describe())
    message.answer = { ...to.table.describeFor(sender), acknowledged: to.registry.isCounted(sender.ref) }
  }

  deliver ({ from, to, sentAt, sender, answer }: Message): void {
    if (answer === undefined || !this.nodes.includes(from)) return
    const updates = this.readers.get(from)?.decode(to.ref.name, sender.known, answer) ?? []
    from.table.merge(updates, sentAt)
    from.tracker.noteAnswer(updates, sentAt)
    const callee = updates[0]
    if (callee !== undefined && answer.acknowledged) from.registry.noteAcknowledged(callee.ref, sentAt)
  }

  exchange (from: TestNode, to: TestNode): void {
    const message = this.send(from, to)
    this.answer(message)
    this.deliver(message)
  }

  submit (node: TestNode, index: number): void {
    const change = draft(`${incarnationKey(node.ref)}#${index}`, node.log.version, index, `/teams/${index}`)
    node.log.submit(change).then(result => {
      if (result.outcome === 'accepted') this.acceptedAt[result.version] ??= this.clock.monotonicMs()
    }, () => {})
  }

  release (node: TestNode): void {
    this.gates.get(node)?.()
    node.client.writesDelayedUntil = node.client.answersHeldUntil = undefined
    node.client.dropsWriteAnswers = false
  }

  restart (first: number): void {
    const missing = NAMES.filter(name => !this.nodes.some(({ ref }) => ref.name === name))
    const name = missing[first % Math.max(1, missing.length)]
    if (name !== undefined) this.start(name)
  }

  async run ([kind, first, second]: Command): Promise<void> {
    const node = this.nodes[first % this.nodes.length]
    const other = this.nodes[second % this.nodes.length]
    const message = this.messages[this.messages.length - 1 - first % Math.max(1, this.messages.length)]
    if (kind === 'advance') await this.clock.advance(first * second)
    if (kind === 'restart') this.restart(first)
    if (kind === 'answer' && message !== undefined) this.answer(message)
    if (kind === 'deliver' && message !== undefined) this.deliver(message)
    if (kind === 'storeDown') for (const { client } of this.nodes) client.down = true
    if (kind === 'storeUp') for (const { client } of this.nodes) client.down = false
    if (kind === 'listEverywhere') for (const each of this.nodes) this.readList(each, 0)
    if (kind === 'exchangeAll') for (const from of this.nodes) for (const to of this.nodes) this.exchange(from, to)
    if (node !== undefined && other !== undefined) await this.runOn(kind, node, other, second)
    await this.clock.settle()
  }

  async runOn (kind: Command[0], node: TestNode, other: TestNode, second: number): Promise<void> {
    const { log, client, registry } = node
    if (kind === 'submit') this.submit(node, second)
    if (kind === 'refresh') await log.refresh()
    if (kind === 'send' && node !== other) this.send(node, other)
    if (kind === 'exchange' && node !== other) this.exchange(node, other)
    if (kind === 'adopt') log.adopt(other.log.fetchChanges(log.version))
    if (kind === 'loseAnswers') client.dropsWriteAnswers = true
    if (kind === 'delayWrites') client.writesDelayedUntil = new Promise(resolve => { this.gates.set(node, resolve) })
    if (kind === 'holdAnswers') client.answersHeldUntil = new Promise(resolve => { this.gates.set(node, resolve) })
    if (kind === 'release') this.release(node)
    if (kind === 'crash') this.stop(node)
    if (kind === 'list') this.readList(node, 0)
    if (kind === 'oldList') this.readList(node, second * 100)
    if (kind === 'maintain') registry.maintain().catch(() => {})
    if (kind === 'deregister' && !log.pending) registry.deregister().then(() => this.nodes.includes(node) && this.stop(node), () => {})
  }

  /**
   * Instances that are considered current as of a time at which a newer change had already been accepted, or written
   * by an instance that still runs. A write whose writer ended before the response was reported to nobody.
   */
  violations (): readonly string[] {
    const now = this.clock.monotonicMs()
    const running = new Set(this.nodes.map(({ ref }) => incarnationKey(ref) as string))
    const written = this.written.filter(({ id }) => running.has(id.slice(0, id.indexOf('#'))))
    const accepted = this.acceptedAt.map((at, version) => ({ version, at })).filter(entry => entry !== undefined)
    return this.nodes.flatMap(({ ref, log, tracker }) => {
      const asOf = now - tracker.ageMs()
      if (tracker.ageMs() < tracker.storeReadAgeMs()) this.quietUses++
      return [...written, ...accepted].filter(({ version, at }) => version > log.version && asOf > at).map(({ version, at }) =>
        `${ref.name} at version ${log.version} is considered current as of ${asOf}, but version ${version} existed at ${at}`)
    })
  }
}

test('no instance considers an outdated version current, whatever faults occur', async t => {
  let quietUses = 0
  let accepted = 0
  const command = fc.tuple(fc.constantFrom(...KINDS), fc.nat(150), fc.nat(150))
  await fc.assert(fc.asyncProperty(fc.array(command, { minLength: 20, maxLength: 120, size: 'max' }), async commands => {
    const world = new World()
    await world.clock.settle()
    await world.clock.advance(1)
    for (const { log } of world.nodes) await log.refresh()
    await world.clock.advance(1)
    await world.run(['exchangeAll', 0, 0])
    for (const step of commands) {
      await world.run(step)
      const violations = world.violations()
      if (violations.length > 0) throw new Error(violations.join('\n'))
    }
    for (const node of world.nodes) node.log.close()
    quietUses += world.quietUses
    accepted += world.acceptedAt.filter(() => true).length
  }), { seed: SEED, numRuns: RUNS })
  t.log(`${quietUses} checks relied on acceptors' reports instead of store reads; ${accepted} changes were accepted`)
  t.true(quietUses > RUNS && accepted > RUNS)
})
