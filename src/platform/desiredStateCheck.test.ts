import test from 'ava'
import fc from 'fast-check'
import { parseDesiredState } from './desiredState.ts'
import { checkDesiredState } from './desiredStateCheck.ts'
import type { CheckReport } from './desiredStateCheck.ts'

const SEED = 13
const KEY = 'agk_secret-key-of-the-weavers'

const ROUTE = { name: 'stock-batch', host: 'orders.example', prefix: '/stock/', service: 'stock', kind: 'non_idempotent', recommendation: { decision_ms: 5, period_ms: 0.1, validity_ms: 2_000 } }

const DOCUMENT = {
  version: 8,
  limits: { max_body_bytes: 262_144, max_header_bytes: 16_384, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
  tenants: [{ name: 'weavers', api_keys: [KEY], priority: 1, weight: 2, cap: { cpu: 4_000 } }],
  routes: [ROUTE, { ...ROUTE, name: 'stock-now', prefix: '/now/' }],
  services: [{ name: 'stock', health_path: '/healthz', max_conns: 64, protocol: 'h1', tls: false, admission_control: false }]
}

function check (document: unknown, inForce?: unknown): CheckReport {
  const encode = (value: unknown): Uint8Array => value instanceof Uint8Array ? value : new TextEncoder().encode(typeof value === 'string' ? value : JSON.stringify(value))
  return checkDesiredState(encode(document), inForce === undefined ? undefined : { file: 'now.json', bytes: encode(inForce) })
}

function formatFindings ({ findings }: CheckReport): readonly string[] {
  return findings.map(({ severity, code, place, message }) => `${severity} ${code} ${place}: ${message}`)
}

test('a correct state has no findings, with the fields of the platform that instances do not read', t => {
  t.deepEqual(check(DOCUMENT, { ...DOCUMENT, version: 7 }).findings, [])
})

test('a file that is not a JSON object is reported with its position, without parts of its text', t => {
  const reports = [`{"tenants": [{"api_keys": ["${KEY}"] "weight": 1}]}`, `{"${KEY}": tru}`, '', '\n [1]', 'null', '\ufeff{}', Uint8Array.of(0x22, 0xff, 0x22)].map(file => formatFindings(check(file)))
  t.snapshot(reports)
  t.notRegex(JSON.stringify(reports), /agk_/)
})

test('all errors are listed in the order of the file with their paths, also beside fields of wrong types', t => {
  t.snapshot(formatFindings(check({
    tenants: [{ name: 'weavers', api_keys: KEY }, { name: 'dyers', api_keys: ['k'], wieght: 2, cap: { cpu: -1 } }, { name: 'dyers', weight: 0, api_keys: ['k', KEY] }],
    version: '8',
    routes: [{ ...ROUTE, prefix: null, max_atempts: 3 }, { ...ROUTE, host: undefined, recommendation: { ...ROUTE.recommendation, validity: 1 } }, { ...ROUTE, prefix: 'stock', max_attempts: 0 }, { ...ROUTE, prefix: '/x', timeout_ms: 1, recommendation: { ...ROUTE.recommendation, validity_ms: 5 } }],
    services: {},
    limits: { max_body_bytes: 0 },
    'extra field': true
  })))
  t.notRegex(formatFindings(check({ ...DOCUMENT, [KEY]: true })).join(), new RegExp(KEY), 'a key that was misplaced as the name of a field')
})

test('what instances accept is checked whole, and what they ignore is an error', t => {
  const value = fc.oneof(fc.jsonValue({ maxDepth: 2 }), fc.constantFrom(null, 0, -1, '', [], {}, '__proto__', KEY))
  const path = fc.constantFrom('version', 'limits', 'tenants', 'routes', 'services', 'tenants.0', 'tenants.0.api_keys', 'tenants.0.cap', 'tenants.0.cap.cpu', 'routes.0', 'routes.1.host', 'routes.0.recommendation', 'routes.1.anonymous', 'services.0.standby', 'limits.max_body_bytes')
  fc.assert(fc.property(fc.array(fc.tuple(path, value), { maxLength: 3 }), replacements => {
    const document = structuredClone(DOCUMENT) as Record<string, unknown>
    for (const [place, replacement] of replacements) replace(document, place.split('.'), replacement)
    const { findings } = check(document)
    return isAccepted(document) !== findings.some(({ code }) => code === 'type' || code === 'incomplete-check')
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

function replace (document: Record<string, unknown>, [step = '', ...rest]: readonly string[], replacement: unknown): void {
  const inner = document[step]
  if (rest.length === 0) document[step] = replacement
  else if (typeof inner === 'object' && inner !== null) replace(inner as Record<string, unknown>, rest, replacement)
}

function isAccepted (document: unknown): boolean {
  try {
    parseDesiredState(JSON.stringify(document))
    return true
  } catch {
    return false
  }
}

test('an invalid file with the version in force is reported by its name, and nothing is compared', t => {
  const reports = ['{"version": }', { version: 7, tenants: [{ name: 'weavers', api_keys: KEY }] }].map(inForce => check(DOCUMENT, inForce))
  t.snapshot(reports.map(formatFindings))
  t.deepEqual(reports.map(({ changes }) => changes), [undefined, undefined])
})
