/**
 * Stand-in for the platform's metadata store, as PROTOCOL.md describes it: items, watches, transactions and leases.
 * Keeps everything in memory, and answers after 4 ms.
 */
/* eslint camelcase: ["error", { properties: "never" }] -- names on the wire are the platform's */
import { createServer } from 'node:http'
import { answerJson, listen, readJson } from './http.mjs'

const ANSWER_MS = 4
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const HISTORY_MS = 20_000
/** `value_bytes` of the settings: a transaction with a larger value is refused as a whole. */
const VALUE_BYTES = 1_048_576

export class Store {
  #items = new Map()
  #leases = new Map()
  #events = []
  #waiters = new Set()
  #revision = 1
  #nextLease = 1
  #server
  address = ''
  /** Every call gets no answer and has no effect while this is true: the store is down, and leases pause. */
  down = false
  /** Returns for a transaction the time in milliseconds after which it is executed without an answer; 0 for a normal answer. */
  lateMs = () => 0
  /** Called with each transaction that was executed, and whether its conditions held. */
  onTransaction = () => {}
  /** Called with the key and the length of a value that is too large. */
  onRefusal = () => {}

  async start () {
    this.#server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy())
    })
    this.address = await listen(this.#server)
  }

  stop () {
    for (const { timer } of this.#leases.values()) clearTimeout(timer)
    this.#server.closeAllConnections()
    this.#server.close()
  }

  put (key, value) {
    this.#write({ key, value: Buffer.from(JSON.stringify(value)).toString('base64') })
  }

  remove (key) {
    this.#remove(key)
  }

  /** Takes the store down: leases keep the time that they have left. */
  goDown () {
    this.down = true
    for (const lease of this.#leases.values()) {
      clearTimeout(lease.timer)
      lease.leftMs = Math.max(0, lease.endsAtMs - Date.now())
    }
  }

  comeBack () {
    this.down = false
    for (const [id, lease] of this.#leases) this.#arm(id, lease, lease.leftMs ?? lease.ttlMs)
  }

  keys (prefix) {
    return this.#list(prefix, '').map(({ key }) => key)
  }

  read (key) {
    const item = this.#items.get(key)
    return item === undefined ? undefined : JSON.parse(Buffer.from(item.value, 'base64').toString('utf8'))
  }

  async #serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const body = await readJson(request)
    if (this.down) return
    await new Promise(resolve => setTimeout(resolve, ANSWER_MS))
    if (this.down) return
    const { pathname, searchParams } = url
    const id = Number(pathname.split('/')[3])
    if (pathname === '/-/kv-key') return this.#get(response, searchParams.get('key'))
    if (pathname === '/-/kv-range') return this.#range(response, searchParams.get('prefix') ?? '', searchParams.get('after') ?? '')
    if (pathname === '/-/kv-watch') return await this.#watch(request, response, searchParams)
    if (pathname === '/-/kv-txn') return this.#transact(response, body)
    if (pathname === '/-/kv-lease') return this.#grant(response, body.ttl_ms)
    if (pathname.startsWith('/-/kv-keep/')) return this.#keep(response, id)
    if (pathname.startsWith('/-/kv-lease-end/')) return this.#end(response, id)
    answerJson(response, 404, {})
  }

  #get (response, key) {
    const item = this.#items.get(key)
    if (item === undefined) return answerJson(response, 404, { at: this.#revision })
    answerJson(response, 200, { ...item, at: this.#revision })
  }

  #list (prefix, after) {
    return [...this.#items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
  }

  #range (response, prefix, after) {
    const all = this.#list(prefix, after)
    const items = []
    let bytes = 0
    for (const item of all) {
      bytes += item.value.length
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes > PAGE_BYTES)) break
      items.push(item)
    }
    answerJson(response, 200, { items, has_more: items.length < all.length, at: this.#revision })
  }

  async #watch (request, response, query) {
    const prefix = query.get('prefix') ?? ''
    const after = Number(query.get('after'))
    const untilMs = Date.now() + Number(query.get('wait_ms'))
    for (;;) {
      const events = this.#events.filter(event => event.revision > after && event.key.startsWith(prefix))
      if (events.length > 0 || Date.now() >= untilMs) return answerJson(response, 200, { events: events.map(({ atMs, ...event }) => event), at: this.#revision })
      await new Promise(resolve => {
        const timer = setTimeout(wake, Math.max(1, untilMs - Date.now()))
        const waiters = this.#waiters
        function wake () {
          clearTimeout(timer)
          waiters.delete(wake)
          resolve()
        }
        waiters.add(wake)
      })
      if (this.down || request.destroyed) return
    }
  }

  #transact (response, body) {
    const tooLarge = (body.write ?? []).find(({ value }) => Buffer.byteLength(value, 'base64') > VALUE_BYTES)
    if (tooLarge !== undefined) {
      this.onRefusal(tooLarge.key, Buffer.byteLength(tooLarge.value, 'base64'))
      return answerJson(response, 400, {})
    }
    const lateMs = this.lateMs(body)
    if (lateMs > 0) return setTimeout(() => { this.#execute(body) }, lateMs)
    const { status, answer } = this.#execute(body)
    answerJson(response, status, answer)
  }

  #execute (body) {
    const { expected_rev: expected = [], write = [], remove = [] } = body
    const holds = expected.every(({ key, revision }) => (this.#items.get(key)?.revision ?? 0) === revision)
    if (!holds) {
      this.onTransaction(body, false)
      return { status: 412, answer: { items: expected.flatMap(({ key }) => this.#items.get(key) ?? []) } }
    }
    if (write.some(({ lease_id: lease = 0 }) => lease !== 0 && !this.#leases.has(lease))) return { status: 404, answer: {} }
    this.#revision += 1
    for (const item of write) this.#write(item, this.#revision)
    for (const key of remove) this.#remove(key, this.#revision)
    this.onTransaction(body, true)
    return { status: 200, answer: { revision: this.#revision } }
  }

  #write ({ key, value, lease_id: lease = 0 }, revision = ++this.#revision) {
    const created = this.#items.get(key)?.created ?? revision
    const item = { key, value, revision, created, lease_id: lease }
    this.#items.set(key, item)
    this.#publish({ ...item })
  }

  #remove (key, revision = ++this.#revision) {
    if (this.#items.delete(key)) this.#publish({ key, revision, compacted: true })
  }

  #publish (event) {
    const nowMs = Date.now()
    this.#events = [...this.#events.filter(({ atMs }) => atMs > nowMs - HISTORY_MS), { ...event, atMs: nowMs }]
    for (const wake of [...this.#waiters]) wake()
  }

  #grant (response, ttlMs) {
    const id = this.#nextLease++
    const lease = { ttlMs }
    this.#leases.set(id, lease)
    this.#arm(id, lease, ttlMs)
    answerJson(response, 200, { lease_id: id, ttl_ms: ttlMs })
  }

  #arm (id, lease, leftMs) {
    clearTimeout(lease.timer)
    lease.leftMs = undefined
    lease.endsAtMs = Date.now() + leftMs
    lease.timer = setTimeout(() => this.#expire(id), leftMs)
  }

  #keep (response, id) {
    const lease = this.#leases.get(id)
    if (lease === undefined) return answerJson(response, 404, {})
    this.#arm(id, lease, lease.ttlMs)
    answerJson(response, 200, { ttl_ms: lease.ttlMs })
  }

  #end (response, id) {
    if (!this.#leases.has(id)) return answerJson(response, 404, {})
    this.#expire(id)
    answerJson(response, 200, {})
  }

  #expire (id) {
    clearTimeout(this.#leases.get(id)?.timer)
    this.#leases.delete(id)
    for (const item of [...this.#items.values()]) if (item.lease_id === id) this.#remove(item.key)
  }
}
