import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { ExecutionContext } from 'ava'
import { OperatorServer } from '../adapters/operator/operatorServer.ts'
import type { ConfigurationSnapshot } from '../model/change.ts'
import type { ChangeAnswer, ChangeSubmission, OperatorHandler, StatusReport } from '../observability/operatorApi.ts'
import { resources } from '../model/resources.ts'
import { runProgram } from './program.ts'

const TOKEN = 'operator-token-0123456789'
const NOON_MS = Date.UTC(2026, 0, 2, 12)

const SNAPSHOT: ConfigurationSnapshot = {
  version: 7,
  settings: { '/': { keyGrace: 6_000 }, '/teams/weavers': { share: 2, limitMemory: 65_536, limitSlots: 0 }, '/teams/dyers': {}, '/queues/kiosk': { open: true, team: 'dyers' } },
  keys: [{ keyId: 'weavers-1', team: 'weavers', hash: 'a'.repeat(64), withdrawn: false }],
  drains: [{ scope: 'target', name: 'runner-1' }],
  recentChangeIds: []
}

const STATUS: StatusReport = {
  instance: { name: 'entry-1', incarnation: 'f00d' },
  dataCentre: 'howrah',
  region: 'kolkata',
  state: 'serving',
  configurationVersion: 7,
  configurationAgeMs: 420,
  peers: [{ ref: { name: 'entry-2', incarnation: 'beef' }, dataCentre: 'matigara', state: 'serving', configurationVersion: 7, heardAgeMs: 900 }],
  targets: [{ id: 'runner-1', type: 'runner', rack: 'r1', capacity: resources({ slots: 8 }), free: resources({ slots: 3 }), state: 'leaving' }],
  teams: [{ team: 'weavers', used: resources({ slots: 5, memory: 2_048 }), limit: { slots: 0, memory: 65_536 }, held: resources({ memory: 4_096 }), share: 2, queued: 3 }],
  aboveLimit: [{ team: 'weavers', dataCentre: 'matigara', reachable: false, held: resources({ memory: 1_024 }) }],
  drains: SNAPSHOT.drains,
  store: { reachable: false },
  list: { reachable: true, lastAnswerAgeMs: 1_200 }
}

class ScriptedHandler implements OperatorHandler {
  readonly submissions: ChangeSubmission[] = []
  readonly #answers: Array<ChangeAnswer | Error>

  constructor (answers: ReadonlyArray<ChangeAnswer | Error>) {
    this.#answers = [...answers]
  }

  async readConfiguration () { return SNAPSHOT }
  async readStatus () { return STATUS }
  async drainSelf () { return { state: 'draining' } as const }
  async readMetrics () { return { contentType: 'text/plain', body: '' } }
  readHealth () { return { ok: true, state: 'serving' } as const }
  readReadiness () { return { ok: true, state: 'serving' } as const }

  async submitChange (submission: ChangeSubmission): Promise<ChangeAnswer> {
    this.submissions.push(submission)
    const answer = this.#answers.shift()
    if (answer === undefined || answer instanceof Error) throw answer ?? new Error('no scripted answer left')
    return answer
  }
}

interface Result {
  readonly exitCode: number
  readonly output: string
  readonly errors: string
}

async function run (args: readonly string[], environment: Readonly<Record<string, string>> = {}): Promise<Result> {
  const output: string[] = []
  const errors: string[] = []
  const exitCode = await runProgram(args, {
    print: text => { output.push(text) },
    printError: text => { errors.push(text) },
    environment,
    operator: 'asha',
    createChangeId: () => 'change-0001',
    createRandomBytes: byteCount => Buffer.alloc(byteCount, 7)
  })
  return { exitCode, output: output.join('\n'), errors: errors.join('\n') }
}

interface Cluster {
  readonly handler: ScriptedHandler
  readonly runCommand: (...args: readonly string[]) => Promise<Result>
  readonly writeFile: (text: string, name?: string) => Promise<string>
}

async function startCluster (t: ExecutionContext, ...answers: ReadonlyArray<ChangeAnswer | Error>): Promise<Cluster> {
  const handler = new ScriptedHandler(answers)
  const server = new OperatorServer(handler, { listen: '127.0.0.1:0', token: TOKEN, requestTimeoutMs: 10_000, onError: () => {} })
  await server.start()
  const directory = await mkdtemp(join(tmpdir(), 'agategauge-'))
  t.teardown(async () => {
    await server.stop(AbortSignal.abort())
    await rm(directory, { recursive: true })
  })
  return {
    handler,
    async runCommand (...args) {
      const result = await run(args, { AGATEGAUGE_OPERATOR: server.address, AGATEGAUGE_TOKEN: TOKEN })
      return { ...result, errors: result.errors.replaceAll(server.address, 'HOST:PORT') }
    },
    async writeFile (text, name = 'cell.ini') {
      const file = join(directory, name)
      await writeFile(file, text)
      return file
    }
  }
}

const ACCEPTED: ChangeAnswer = { outcome: 'accepted', version: 8, confirmations: [{ dataCentre: 'howrah', confirmed: true }, { dataCentre: 'salt-lake', confirmed: true }], aboveLimit: [] }

const HELP_COMMANDS = ['', 'serve', 'status', 'settings', 'settings check', 'settings explain', 'settings apply', 'settings reference', 'team', 'team create', 'team remove', 'team list',
  'key', 'key create', 'key withdraw', 'key list', 'share', 'limit', 'policy', 'drain', 'undrain']

test('help texts list options, examples and exit codes', async t => {
  for (const command of HELP_COMMANDS) {
    const { exitCode, output } = await run([...command.split(' ').filter(word => word !== ''), '--help'])
    t.is(exitCode, 0)
    t.snapshot(output, command === '' ? 'agategauge' : command)
  }
})

test('usage errors print advice and no stack trace', async t => {
  const { runCommand, writeFile, handler } = await startCluster(t)
  const invalidCommands = [['bogus'], [], ['settings'], ['status', '--verbose'], ['settings', 'check'], ['drain', 'rack', 'r1'], ['drain', 'target'], ['drain', 'self', 'entry-1'], ['limit', 'weavers'],
    ['limit', 'weavers', '--memory', '64'], ['limit', 'weaver', '--slots', '4'], ['share', 'weavers', 'much'], ['team', 'create', 'weavers'], ['team', 'create', 'Weavers!'], ['team', 'remove', 'spinners'],
    ['team', 'remove', 'dyers'], ['key', 'withdraw', 'nobody-1'], ['key', 'create', 'spinners'], ['policy', '/kinds/render', 'share=1'], ['policy', '/kinds/batch', 'share=1'], ['policy', '/teams/weavers', 'keyGrace'],
    ['policy', '/teams/weavers', 'share=1', 'share=2'], ['status', '--token', 'x', '--token', 'y'], ['share', 'weavers', '3', '--wait', '1 s', '--wait', '2 s'], ['settings', 'explain', 'keyGrase', '--team', 'weavers'], ['settings', 'explain', '--team', 'weaver'], ['status', '--address', 'nowhere'],
    ['status', '--token', 'wrong'], ['status', '--address', '127.0.0.1:1'], ['share', 'weavers', '3', '--wait', '5'], ['share', 'weavers', '3', '--wait', '1 h'], ['serve'], ['settings', 'check', 'missing.ini'],
    ['settings', 'check', 'missing.json', '--desired-state'], ['settings', 'check', 'next.json', '--strict'], ['settings', 'check', 'next.json', '--desired-state', '--instance'], ['settings', 'check', 'next.json', '--desired-state', '--format', 'xml']]
  for (const args of invalidCommands) {
    const { exitCode, errors } = await runCommand(...args)
    t.true([1, 2, 4].includes(exitCode), `${args.join(' ')}: ${exitCode}`)
    t.notRegex(errors, /\n\s+at /)
    t.snapshot({ exitCode, errors }, args.join(' ') || 'no arguments')
  }
  const file = await writeFile('[/teams/weavers]\nshare = 2')
  const { exitCode, errors } = await runCommand('settings', 'apply', file)
  t.is(exitCode, 1)
  t.regex(errors, /:2: the last line has no newline/)
  t.like(await run(['status']), { exitCode: 2 })
  t.deepEqual(handler.submissions, [], 'no change was submitted')
})

test('the output of read-only commands matches the snapshots', async t => {
  const { runCommand, writeFile } = await startCluster(t)
  const file = await writeFile('[/teams/weavers]\nkeyGrace = 9 s\n')
  for (const args of [['settings', 'explain', '--team', 'weavers', '--kind', 'batch'], ['settings', 'explain', '--queue', 'kiosk'], ['settings', 'explain', 'keyGrace', '--team', 'weavers', '--json'],
    ['team', 'list'], ['key', 'list', '--team', 'weavers'], ['status']]) {
    const { exitCode, output } = await runCommand(...args)
    t.is(exitCode, 0)
    t.snapshot(output, args.join(' '))
  }
  t.regex((await runCommand('settings', 'explain', 'keyGrace', '--team', 'weavers', '--file', file)).output, /keyGrace +9 s +\/teams\/weavers/)
  t.deepEqual(JSON.parse((await runCommand('status', '--json')).output), STATUS)
})

test('the check of a desired state lists findings and differences, shows no key, and its exit code says whether to write it', async t => {
  const { writeFile } = await startCluster(t)
  const route = (name: string, timeoutMs: number): string => `{"name": "${name}", "host": "orders.example", "prefix": "/${name}/", "service": "stock", "timeout_ms": ${timeoutMs}}`
  const team = (name: string, rest: string): string => `{"name": "${name}", ${rest}}`
  const state = (version: number, routes: readonly string[], teams: readonly string[]): string => `{"version": ${version}, "routes": [${routes.join()}], "services": [{"name": "stock"}], "tenants": [${teams.join()}]}`
  const [batch, weavers] = [route('stock-batch', 2_000), team('weavers', '"api_keys": ["agk_kept"]')]
  const files: Readonly<Record<string, string>> = {
    now: await writeFile(state(7, [route('stock-batch', 3_000), route('gone', 3_000)], [team('weavers', '"api_keys": ["agk_kept", "agk_withdrawn"]')]), 'now.json'),
    next: await writeFile(state(8, [batch], [weavers]), 'next.json'),
    doubtful: await writeFile(state(8, [batch], [weavers, team('dyers', '"wieght": 2')]), 'doubtful.json'),
    wrong: await writeFile(state(6, [batch], [weavers, team('dyers', '"api_keys": ["agk_kept"], "weight": 0')]), 'wrong.json'),
    broken: await writeFile('{"version": 8', 'broken.json')
  }
  const cases: ReadonlyArray<readonly [number, string]> = [[0, 'next --against now'], [0, 'next --format json --against now'], [0, 'doubtful'], [1, 'doubtful --strict'], [1, 'wrong --against now'], [1, 'wrong --format json'], [1, 'broken'], [1, 'next --against broken'], [2, 'next --against missing']]
  for (const [expected, args] of cases) {
    const { exitCode, output, errors } = await run(['settings', 'check', '--desired-state', ...args.split(' ').map(word => files[word] ?? word)])
    t.is(exitCode, expected, args)
    t.notRegex(output + errors, /agk_/, args)
    t.snapshot((output + errors).replaceAll(/[^\s"\\]*\/agategauge-[^/]*\//g, ''), args)
  }
})

test('apply distinguishes acceptance, conflicts, missing confirmations and outages', async t => {
  const partlyConfirmed: ChangeAnswer = {
    outcome: 'accepted',
    version: 8,
    confirmations: [{ dataCentre: 'howrah', confirmed: true }, { dataCentre: 'matigara', confirmed: false, refusesKeyedWorkByWallMs: NOON_MS }],
    aboveLimit: [{ team: 'weavers', dataCentre: 'matigara', reachable: false, held: resources({ memory: 8_192 }) }]
  }
  const conflict: ChangeAnswer = {
    outcome: 'conflict',
    winner: { id: 'change-0009', version: 8, baseVersion: 7, operator: 'birger', acceptedAt: NOON_MS, operations: [{ type: 'set', path: '/teams/weavers', values: { limitMemory: 4_096 } }] },
    paths: ['/teams/weavers']
  }
  const unknown: ChangeAnswer = { outcome: 'unavailable', message: 'the store\'s response was lost', mayHaveBeenAccepted: true }
  const storeDown: ChangeAnswer = { outcome: 'unavailable', message: 'the store can\'t be reached', mayHaveBeenAccepted: false }
  const invalid: ChangeAnswer = { outcome: 'invalid', messages: ['/teams/weavers: rejected by the instance'] }
  const cases: ReadonlyArray<readonly [string, number, readonly ChangeAnswer[]]> = [['accepted', 0, [ACCEPTED]], ['partly confirmed', 3, [partlyConfirmed]], ['conflict with a newer change', 1, [conflict]],
    ['rejected by the instance', 1, [invalid]], ['store down', 4, [storeDown]], ['unknown, then accepted', 0, [unknown, ACCEPTED]], ['unknown after all retries', 4, [unknown, unknown, storeDown]]]
  for (const [name, expected, answers] of cases) {
    const { runCommand, writeFile, handler } = await startCluster(t, ...answers)
    const file = await writeFile('[/teams/weavers]\nshare = 2\nlimitMemory = 32 GB\n')
    const { exitCode, output, errors } = await runCommand('settings', 'apply', file, '--wait', '0 s')
    t.is(exitCode, expected, name)
    t.snapshot({ output, errors }, name)
    t.is(handler.submissions.length, answers.length)
    t.true(handler.submissions.every(({ id, baseVersion, operator }) => id === 'change-0001' && baseVersion === 7 && operator === 'asha'), 'every attempt submits the same change')
  }
})

test('dry runs and changes without effect submit nothing', async t => {
  const { runCommand, writeFile, handler } = await startCluster(t)
  const file = await writeFile('[/teams/weavers]\nshare = 3\n')
  t.snapshot((await runCommand('settings', 'apply', file, '--prune', '--dry-run')).output)
  t.is((await runCommand('settings', 'apply', await writeFile('[/teams/weavers]\nshare = 2\n'))).exitCode, 0)
  t.is((await runCommand('drain', 'target', 'runner-1')).exitCode, 0)
  t.deepEqual(handler.submissions, [])
})

test('a key is printed once and only its hash is sent', async t => {
  const { runCommand, handler } = await startCluster(t, ACCEPTED, new Error('internal'))
  const { exitCode, output } = await runCommand('key', 'create', 'weavers', '--json')
  t.is(exitCode, 0)
  const { key, keyId } = JSON.parse(output) as { readonly key: string, readonly keyId: string }
  t.regex(key, /^agk_[A-Za-z0-9_-]{43}$/)
  t.is(keyId, 'weavers-07070707')
  t.false(JSON.stringify(handler.submissions).includes(key))
  t.regex(JSON.stringify(handler.submissions), /"hash":"[0-9a-f]{64}"/)
  const failed = await runCommand('key', 'create', 'weavers')
  t.is(failed.exitCode, 4)
  t.regex(failed.errors, /Unknown whether the change was accepted[^]*key list/)
  t.notRegex(failed.output + failed.errors, /agk_/, 'a key that was not accepted is not printed')
})

test('commands for single changes submit the operations that they print', async t => {
  const commands = [['team', 'create', 'spinners', '--share', '2', '--memory', '64 GB'], ['team', 'remove', 'weavers'], ['share', 'weavers', '3'], ['limit', 'weavers', '--memory', 'none', '--slots', '9'],
    ['policy', '/teams/weavers/kinds/batch', 'crossRegionWait=2 s', 'preemptible=false'], ['key', 'withdraw', 'weavers-1'], ['drain', 'data-centre', 'matigara'], ['undrain', 'target', 'runner-1']]
  const { runCommand, handler } = await startCluster(t, ...commands.map(() => ACCEPTED))
  for (const args of commands) {
    const { exitCode, output, errors } = await runCommand(...args)
    t.is(exitCode, 0, errors)
    t.snapshot({ output, operations: handler.submissions.at(-1)?.operations }, args.join(' '))
  }
  t.regex((await runCommand('drain', 'self')).output, /draining/)
})
