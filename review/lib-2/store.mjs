/* eslint camelcase: ["error", { properties: "never" }] */
// Stand-in for the platform: the metadata store and the placement advisor. Usage: node store.mjs
// Prints {"address"} on its first line. POST /control/put {key, value} writes as the operator or a runner
// would; POST /control/gang stands for the channels between the members of a gang.
import { createServer } from 'node:http'

const VALUE_BYTES = 1_048_576
const PAGE_ITEMS = 500
const PAGE_BYTES = 1_000_000
const MIN_LEASE_MS = 1_000
const MAX_LEASE_MS = 600_000
/** A runner checks in every 1.5 s; its entry is removed after three intervals of silence. */
const ENTRY_SILENCE_MS = 4_500
/** Members of a gang speak every 50 ms. */
const MEMBER_SILENCE_MS = 500

const items = new Map()
const leases = new Map()
const checkIns = new Map()
const waiters = new Set()
let events = []
let revision = 1
let nextLease = 1

function notify () {
  for (const wake of [...waiters]) wake()
}

function write (key, value, leaseId, at) {
  const item = { key, value, revision: at, created: items.get(key)?.created ?? at, lease_id: leaseId }
  items.set(key, item)
  events.push(item)
}

function remove (key, at) {
  if (!items.delete(key)) return
  events.push({ key, revision: at, compacted: true })
}

function change (apply) {
  revision += 1
  apply(revision)
  if (events.length > 100_000) events = events.slice(-50_000)
  notify()
}

function endLease (id) {
  const lease = leases.get(id)
  if (lease === undefined) return false
  clearTimeout(lease.timer)
  leases.delete(id)
  const keys = [...items.values()].filter(item => item.lease_id === id).map(({ key }) => key)
  if (keys.length > 0) change(at => { for (const key of keys) remove(key, at) })
  return true
}

function armLease (id, ttlMs) {
  clearTimeout(leases.get(id)?.timer)
  leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) })
}

function getKey (query) {
  const item = items.get(query.get('key') ?? '')
  return item === undefined ? [404, { at: revision }] : [200, { ...item, at: revision }]
}

function getRange (query) {
  const prefix = query.get('prefix') ?? ''
  const after = query.get('after') ?? ''
  const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((left, right) => left.key < right.key ? -1 : 1)
  const page = []
  let bytes = 0
  for (const item of found) {
    if (page.length >= PAGE_ITEMS || (page.length > 0 && bytes + item.value.length > PAGE_BYTES)) break
    bytes += item.value.length
    page.push(item)
  }
  return [200, { items: page, has_more: page.length < found.length, at: revision }]
}

async function watch (query, request) {
  const prefix = query.get('prefix') ?? ''
  const after = Number(query.get('after') ?? 0)
  const untilMs = Date.now() + Math.min(30_000, Number(query.get('wait_ms') ?? 0))
  for (;;) {
    const found = events.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (found.length > 0 || Date.now() >= untilMs || request.destroyed) return [200, { events: found, at: revision }]
    await new Promise(resolve => {
      const done = () => {
        clearTimeout(timer)
        waiters.delete(done)
        resolve()
      }
      const timer = setTimeout(done, untilMs - Date.now())
      waiters.add(done)
    })
  }
}

function commit ({ expected_rev: expected = [], write: writes = [], remove: removes = [] }) {
  if (expected.length + writes.length + removes.length > 32) return [400, { message: 'too many entries' }]
  if (writes.some(({ value }) => Buffer.byteLength(value, 'base64') > VALUE_BYTES)) return [400, { message: `a value exceeds ${VALUE_BYTES} bytes` }]
  if (writes.some(({ key }) => Buffer.byteLength(key) > 200)) return [400, { message: 'a key is too long' }]
  if ([...writes.map(({ key }) => key), ...removes].some(key => key.startsWith('op/') || key.startsWith('servers/'))) return [403, {}]
  if (expected.some(({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted)) {
    return [412, { items: expected.flatMap(({ key }) => items.get(key) ?? []) }]
  }
  if (writes.some(({ lease_id: id = 0 }) => id !== 0 && !leases.has(id))) return [404, {}]
  change(at => {
    for (const { key, value, lease_id: id = 0 } of writes) write(key, value, id, at)
    for (const key of removes) remove(key, at)
  })
  return [200, { revision }]
}

function grant ({ ttl_ms: asked }) {
  const ttlMs = Math.min(Math.max(asked, MIN_LEASE_MS), MAX_LEASE_MS)
  const id = nextLease++
  armLease(id, ttlMs)
  return [200, { lease_id: id, ttl_ms: ttlMs }]
}

function keep (id) {
  const lease = leases.get(id)
  if (lease === undefined) return [404, {}]
  armLease(id, lease.ttlMs)
  return [200, { ttl_ms: lease.ttlMs }]
}

function put ({ key, value }) {
  const encoded = Buffer.from(JSON.stringify(value)).toString('base64')
  if (key.startsWith('servers/')) {
    clearTimeout(checkIns.get(key))
    if (value === null) change(at => remove(key, at))
    else checkIns.set(key, setTimeout(() => change(at => remove(key, at)), ENTRY_SILENCE_MS))
    if (value === null) return [200, {}]
  }
  change(at => write(key, encoded, 0, at))
  return [200, { revision }]
}

/** Members of gang runs, by step and run: a gang works from the moment when all are present, and ends when one of them is lost. */
const gangs = new Map()

function reportMember ({ gang, size, member, state }) {
  const entry = gangs.get(gang) ?? { members: new Map(), beganAt: 0, broken: false }
  gangs.set(gang, entry)
  if (state === 'present') entry.members.set(member, Date.now())
  const isSilent = [...entry.members.values()].some(seenAt => Date.now() - seenAt > MEMBER_SILENCE_MS)
  if (state === 'gone' || (entry.beganAt > 0 && isSilent)) entry.broken = true
  if (entry.beganAt === 0 && entry.members.size === size) entry.beganAt = Date.now()
  return [200, { began: entry.beganAt > 0, broken: entry.broken }]
}

async function handle (request, body) {
  const url = new URL(request.url, 'http://store')
  const path = url.pathname
  const call = `${request.method} ${path}`
  if (call === 'GET /-/kv-key') return getKey(url.searchParams)
  if (call === 'GET /-/kv-range') return getRange(url.searchParams)
  if (call === 'GET /-/kv-watch') return await watch(url.searchParams, request)
  if (call === 'POST /-/kv-txn') return commit(body)
  if (call === 'POST /-/kv-lease') return grant(body)
  if (request.method === 'POST' && path.startsWith('/-/kv-keep/')) return keep(Number(path.slice(11)))
  if (request.method === 'DELETE' && path.startsWith('/-/kv-lease-end/')) return endLease(Number(path.slice(16))) ? [200, {}] : [404, {}]
  if (call === 'POST /control/put') return put(body)
  if (call === 'POST /control/gang') return reportMember(body)
  return [404, {}]
}

const server = createServer((request, response) => {
  const chunks = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', async () => {
    const text = Buffer.concat(chunks).toString()
    const [status, body] = await handle(request, text === '' ? {} : JSON.parse(text))
    const answer = JSON.stringify(body)
    response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(answer) }).end(answer)
  })
})
server.keepAliveTimeout = 60_000
server.listen(0, '127.0.0.1', () => console.log(JSON.stringify({ address: `127.0.0.1:${server.address().port}` })))
