import test from 'ava'
import { MemoryTransactionalStore } from '../coordinator/testing/memoryTransactionalStore.ts'
import { InputError } from '../model/errors.ts'
import { createLogger } from '../observability/logger.ts'
import { parseDesiredState } from './desiredState.ts'
import { decodeJobBody } from './jobBody.ts'
import { parseSettings } from './settingsFile.ts'
import { decodeTargetEntry, StoredTargetDirectory } from './targetEntry.ts'

const SETTINGS = `
node_name = "entry-1"
ip = "10.1.0.17"
zone = "attica-a"
internal_ports = [7420, 7435]
unknown_field = [1, 2]
[listen_addrs]
frontend = "10.1.0.17:8183"
ready = "10.1.0.17:8184"
[bounds]
grace_s = 6
hold_max_ms = 10000
kill_grace_ms = 200
[platform]
address = "10.200.1.7:8182"
`

test('unknown settings fields are ignored, and the error for a missing field names it', t => {
  t.snapshot(parseSettings(SETTINGS))
  const error = t.throws(() => parseSettings(SETTINGS.replace('ip = "10.1.0.17"', '')), { instanceOf: InputError })
  t.regex(error.message, /ip/)
  t.throws(() => parseSettings('this is not TOML'), { instanceOf: InputError })
  t.throws(() => parseSettings(`control_mode = "heartbeat"\n${SETTINGS}`), { message: /control_mode = "heartbeat" is not supported/ })
})

test('a job body is decoded into named fields, and the error for an invalid body names the field', t => {
  t.snapshot(decodeJobBody({ spec: 's', phases: [{ count: 2, cpu: 500, mem_mb: 64, gang: true, anti_affinity: 2 }, { count: 1, after: [0], fill_count: true }] }))
  const error = t.throws(() => decodeJobBody({ phases: [{ count: 'two' }] }), { instanceOf: InputError })
  t.regex(error.message, /count/)
  t.throws(() => decodeJobBody({ phases: [{ count: 1, after: [0] }] }), { message: /depends on a later step/ })
  t.throws(() => decodeJobBody(null), { instanceOf: InputError })
})

test('a desired state is decoded, and invalid text is an error instead of an empty state', t => {
  t.snapshot(parseDesiredState(JSON.stringify({
    version: 7,
    routes: [{ name: 'r-1', host: 'a.example', prefix: '/x/', service: 's', max_attempts: 2, recommendation: { decision_ms: 5, period_ms: 1, validity_ms: 2_000 } }],
    services: [{ name: 's' }, { name: 'off', standby: true }],
    tenants: [{ name: 'weavers', api_keys: ['k'], weight: 27, cap: { cpu: 1_000 } }]
  })))
  t.throws(() => parseDesiredState('{}'), { instanceOf: InputError })
  t.throws(() => parseDesiredState('nonsense'), { instanceOf: InputError })
})

test('an entry that does not describe a target is ignored', t => {
  const entry = { service: 's', address: '10.128.0.9:8080', zone: 'attica-a', state: 'ready', capacity: { cpu: 16_000, mem_mb: 1, gpu: 0 }, labels: ['a', 'r-1'], born: 5 }
  const decode = (value: unknown) => decodeTargetEntry({ key: 'servers/i-1', value: typeof value === 'string' ? value : JSON.stringify(value), revision: 1 })
  t.is(decode(entry)?.id, 'i-1')
  t.true(decode({ ...entry, state: 'draining' })?.draining)
  for (const bad of ['\u0000nonsense', { ...entry, state: 'resting' }, { ...entry, address: 7 }, { ...entry, capacity: undefined }, { ...entry, born: undefined }, [], null]) t.is(decode(bad), undefined)
})

test('odd entries: one among those of the targets is ignored, and neither ends the process nor hides or resizes other targets', async t => {
  const entry = { service: 's', address: '10.128.0.9:8080', zone: 'attica-a', state: 'ready', capacity: { cpu: 16_000, mem_mb: 1, gpu: 0 }, labels: ['a', 'r-1'], born: 5 }
  const deep = (levels: number): string => '['.repeat(levels) + ']'.repeat(levels)
  const withField = (field: string, text: string): string => JSON.stringify({ ...entry, [field]: 0 }).replace(`"${field}":0`, `"${field}":${text}`)
  const odd = [
    withField('unknown', deep(200_000)), withField('labels', deep(200_000)), deep(300_000),
    ...['1e999', '1e300', '-5.5', '"64000"', 'null'].map(cpu => withField('capacity', `{"cpu":${cpu},"mem_mb":1}`)),
    ...['1e999', '1e300', '-1', '1.5', '"5"', '0', 'null'].map(born => withField('born', born)),
    ...['10.128.0.9:99999', '10.128.0.9:0', '10.128.0.999:80', 'localhost:80', '10.128.0.9:80/x', 'a@10.128.0.9:80', ':80'].map(address => withField('address', JSON.stringify(address)))
  ]
  const store = new MemoryTransactionalStore()
  store.put('servers/i-1', JSON.stringify(entry))
  for (const [number, value] of odd.entries()) store.put(`servers/odd-${number}`, value)
  store.put('servers/', JSON.stringify(entry))
  const directory = new StoredTargetDirectory(store, createLogger({ level: 'silent', instance: 'test', dataCentre: 'test', secrets: [] }))
  t.deepEqual((await directory.list()).map(({ id }) => id), ['i-1'])
})

test('a job body whose sizes or counts no cluster could hold is refused with an error that names them', t => {
  const body = (step: object, rest: object = {}): unknown => ({ spec: 's', phases: [{ count: 1, cpu: 500, ...step }], ...rest })
  for (const [bad, field] of [[body({ cpu: -1 }), /cpu/], [body({ count: 1e15 }), /tasks/], [body({ count: 50_000 }), /tasks/], [body({}, { repeat_count: 1e12 }), /tasks/]] as const) {
    t.regex(t.throws(() => decodeJobBody(bad), { instanceOf: InputError }).message, field)
  }
  t.is(decodeJobBody(body({ count: 5_000, cpu: 1e9 })).steps[0]?.count, 5_000, 'a job that does not fit now may fit later')
})
