import test from 'ava'
import { runToCompletion } from './childProcess.ts'
import { CallerClient } from './callerClient.ts'
import type { RequestOptions } from './callerClient.ts'
import { Cluster } from './cluster.ts'
import type { ClusterInstance } from './cluster.ts'
import { chooseHost, FOUR_INSTANCES } from './topology.ts'
import { createTeam, findRuns, PROGRAM, UNTIL_IN_FORCE } from './testTeam.ts'
import { waitUntil } from './waitUntil.ts'

const LARGE_ANSWER_BYTES = 8_000_000
const REMOTE_DATA_CENTRE_SLOTS = 8
/** Longer than the test, so that the work ends only when it is stopped. */
const LONG_RUN_MS = 300_000

/** Requests of each kind, with sizes for both target types. */
const KINDS: readonly Omit<RequestOptions, 'id'>[] = [
  { kind: 'urgent' },
  { kind: 'batch', size: { slots: 1 } },
  { kind: 'batch', size: { processors: 2_000, memory: 1_024 } },
  { kind: 'service', size: { processors: 1_000, memory: 1_024 }, payload: { runMs: 10 } },
  { kind: 'gang', tasks: 3, size: { processors: 1_000, memory: 512 } }
]

const client = new CallerClient()
let cluster: Cluster
let key: string

/** Returns an instance by position; the first two belong to the first data centre. */
function instanceAt (index: number): ClusterInstance {
  return cluster.instances[index]!
}

test.before(async () => {
  cluster = await Cluster.start({ layout: FOUR_INSTANCES, host: chooseHost(), program: PROGRAM })
  key = await createTeam(cluster, 'weavers', ['--share', '2', '--slots', '40', '--memory', '512 GB'])
})

test.after.always(async () => {
  await client.close()
  await cluster?.stop()
})

test.serial('each kind of request is answered at every instance', async t => {
  for (const [index, { addresses, name }] of cluster.instances.entries()) {
    for (const [number, options] of KINDS.entries()) {
      const answer = await client.run(addresses.caller, key, { id: `kind-${index}-${number}`, ...options })
      t.is(answer.status, 200, `${options.kind} at ${name}: ${answer.body.toString()} ${String(answer.error)}`)
    }
  }
})

test.serial('a request is served by another data centre when its own has no free slot', async t => {
  const remote = cluster.instances.find(({ dataCentre }) => dataCentre === 'attica-b')!
  const abort = new AbortController()
  const running = Array.from({ length: REMOTE_DATA_CENTRE_SLOTS }, async (_, index) =>
    await client.run(remote.addresses.caller, key, { id: `fill-${index}`, kind: 'urgent', deadlineMs: LONG_RUN_MS, payload: { runMs: LONG_RUN_MS } }, abort.signal))
  await waitUntil('the data centre is full', async () =>
    (await cluster.readStatus(remote)).targets.every(({ type, free }) => type !== 'runner' || free.slots === 0))
  const answer = await client.run(remote.addresses.caller, key, { id: 'elsewhere', kind: 'urgent', deadlineMs: 60_000, payload: { answer: 'done' } })
  t.is(answer.body.toString(), '"done"')
  t.regex(answer.target ?? '', /^(attica-a|macedonia-a)-/)
  const large = await client.run(remote.addresses.caller, key, { id: 'large', kind: 'urgent', deadlineMs: 60_000, payload: { bytes: LARGE_ANSWER_BYTES } })
  t.regex(large.target ?? '', /^(attica-a|macedonia-a)-/)
  t.is(large.body.length, LARGE_ANSWER_BYTES)
  t.true(large.body.every(byte => byte === 'x'.charCodeAt(0)))
  abort.abort()
  await Promise.all(running)
  await waitUntil('the work of disconnected callers stops', async () =>
    (await findRuns(cluster, id => id.startsWith('fill-'))).every(({ ending }) => ending === 'stopped'))
})

test.serial('work without a valid key never reaches a target', async t => {
  for (const [index, { addresses }] of cluster.instances.entries()) {
    for (const wrongKey of [undefined, 'agk_wrong', `${key}x`]) {
      const answer = await client.run(addresses.caller, wrongKey, { id: `keyless-${index}` })
      t.like(answer, { status: 401, verdict: 'not-run' })
    }
  }
  t.deepEqual(await findRuns(cluster, id => id.startsWith('keyless-')), [])
})

test.serial('a request that must not be repeated does not run again at another instance', async t => {
  const work = { id: 'order-1', repeatable: false, payload: { answer: 'ordered' } }
  t.is((await client.run(instanceAt(0).addresses.caller, key, work)).body.toString(), '"ordered"')
  for (const { addresses } of cluster.instances) {
    t.like(await client.run(addresses.caller, key, work), { status: 409, code: 'duplicate', verdict: 'may-have-run' })
  }
  t.is((await findRuns(cluster, id => id === 'order-1')).length, 1)
})

test.serial('concurrent duplicates of a request at all instances do not run twice', async t => {
  for (let round = 0; round < 10; round++) {
    const work = { id: `race-${round}`, repeatable: false, payload: { answer: round } }
    const answers = await Promise.all(cluster.instances.map(async ({ addresses }) => await client.run(addresses.caller, key, work)))
    t.is(answers.filter(({ status }) => status === 200).length, 1, JSON.stringify(answers.map(({ status, code }) => [status, code])))
    t.is((await findRuns(cluster, id => id === work.id)).length, 1)
  }
})

test.serial('a running request is found and cancelled from another data centre', async t => {
  const [first, far] = [instanceAt(0), instanceAt(3)]
  const running = client.run(first.addresses.caller, key, { id: 'long-1', kind: 'batch', size: { slots: 1 }, deadlineMs: LONG_RUN_MS, payload: { runMs: LONG_RUN_MS } })
  await waitUntil('the request runs', async () => (await findRuns(cluster, id => id === 'long-1')).length === 1)
  const found = await client.find(far.addresses.caller, key, 'long-1')
  t.is(found.status, 200)
  t.regex(found.body.toString(), /"state":"running"/)
  t.is((await client.find(far.addresses.caller, 'agk_wrong', 'long-1')).status, 401)
  const cancelled = await client.cancel(far.addresses.caller, key, 'long-1')
  t.deepEqual(JSON.parse(cancelled.body.toString()), { id: 'long-1', cancelled: true })
  const answer = await running
  t.is(answer.code, 'cancelled')
  t.not(answer.verdict, 'not-run')
  await waitUntil('the task is stopped', async () => (await findRuns(cluster, id => id === 'long-1')).every(({ ending }) => ending === 'stopped'))
  t.is((await client.find(far.addresses.caller, key, 'long-1')).status, 404)
})

test.serial('a team does not exceed its limit across all data centres', async t => {
  const limited = await createTeam(cluster, 'carders', ['--slots', '3'])
  const requests = cluster.instances.flatMap(({ addresses }, index) => Array.from({ length: 6 }, async (_, number) =>
    await client.run(addresses.caller, limited, { id: `limited-${index}-${number}`, kind: 'batch', size: { slots: 1 }, deadlineMs: 60_000, payload: { runMs: 100 } })))
  const answers = await Promise.all(requests)
  t.deepEqual(answers.map(({ status }) => status), answers.map(() => 200))
  const runs = await findRuns(cluster, id => id.startsWith('limited-'))
  const highestConcurrency = Math.max(...runs.map(({ startedAtWallMs }) =>
    runs.filter(other => other.startedAtWallMs <= startedAtWallMs && (other.endedAtWallMs ?? Infinity) > startedAtWallMs).length))
  t.true(highestConcurrency <= 3, `${highestConcurrency} tasks ran concurrently`)
})

test.serial('no instance accepts a withdrawn key once the command reports the withdrawal as in force', async t => {
  const { code, output, errorOutput } = await cluster.runCommand(instanceAt(0), 'key', 'create', 'weavers', '--json', ...UNTIL_IN_FORCE)
  t.is(code, 0, errorOutput)
  const { key: spare, keyId } = JSON.parse(output) as { readonly key: string, readonly keyId: string }
  t.is((await client.run(instanceAt(3).addresses.caller, spare, { id: 'spare-1' })).status, 200)
  const withdrawn = await cluster.runCommand(instanceAt(3), 'key', 'withdraw', keyId, ...UNTIL_IN_FORCE)
  t.is(withdrawn.code, 0, withdrawn.errorOutput)
  t.regex(withdrawn.output, /In force in: attica-a, attica-b, macedonia-a/)
  for (const { addresses } of cluster.instances) {
    t.like(await client.run(addresses.caller, spare, { id: 'spare-2' }), { status: 401, verdict: 'not-run' })
  }
  t.deepEqual(await findRuns(cluster, id => id === 'spare-2'), [])
})

test.serial('no target exceeds its capacity', async t => {
  for (const { target, capacity, highestReserved } of await cluster.readRecords()) {
    for (const [dimension, reserved] of Object.entries(highestReserved)) t.true(reserved <= (capacity[dimension] ?? 0), `${target}: ${dimension}`)
  }
})

test.serial('a command against an instance with a wrong token changes nothing', async t => {
  const before = (await cluster.readStatus(instanceAt(0))).configurationVersion
  const answer = await runToCompletion([...PROGRAM, 'team', 'create', 'thieves', '--address', instanceAt(0).addresses.operator, '--token', 'a-wrong-operator-token'])
  t.is(answer.code, 1)
  t.is((await cluster.readStatus(instanceAt(0))).configurationVersion, before)
})
