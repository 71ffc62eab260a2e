import { spawn } from 'node:child_process'
import { chmodSync, mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { readRegressionList } from './regressionList.ts'

const MAIN = fileURLToPath(new URL('main.ts', import.meta.url))
const FLOOR = { worth: 0.6, measuredOn: '2026-12-04', journal: 'a887cf1a' }
const DEPLOYMENTS = [
  { name: 'small', site: 'small.toml', huntDays: 4, floors: { 'quiet-1': FLOOR }, seeds: [{ day: 'mix', seed: 7, cause: 'a lost answer' }] },
  { name: 'old', site: 'old.toml', retired: true, huntDays: 0, floors: {} }
]

interface Outcome {
  readonly exitCode: number
  readonly output: string
  /** Calls of the stand-in bench. */
  readonly calls: readonly string[]
}

/** Runs the program with a stand-in for the bench that prints the text for each verb. */
async function regress (arguments_: readonly string[], printed: Readonly<Record<string, string>>, deployments: unknown = DEPLOYMENTS): Promise<Outcome> {
  const folder = mkdtempSync(join(tmpdir(), 'regress-'))
  const bench = join(folder, 'bench')
  const callsFile = join(folder, 'calls')
  writeFileSync(callsFile, '')
  for (const [verb, text] of Object.entries(printed)) writeFileSync(join(folder, verb), text)
  writeFileSync(bench, `#!/usr/bin/env bash\necho "$*" >> ${callsFile}\ncat ${folder}/"$1"\n`)
  chmodSync(bench, 0o755)
  const file = join(folder, 'deployments.json')
  writeFileSync(file, JSON.stringify({ deployments }))
  const child = spawn(process.execPath, ['--import=tsx', MAIN, '--bench', bench, '--sites', '/sites', '--file', file, ...arguments_])
  let output = ''
  for (const stream of [child.stdout, child.stderr]) stream.setEncoding('utf8').on('data', (chunk: string) => { output += chunk })
  const exitCode = await new Promise<number>(resolve => child.on('close', code => resolve(code ?? -1)))
  return { exitCode, output, calls: readFileSync(callsFile, 'utf8').split('\n').filter(line => line !== '') }
}

const DAY = (worth: number): string => `day  own/srv  score  worth served refused failed  weakest part\nquiet-1   6/48   0.58  ${worth}  0.999   0.000  0.000  worst class 0.99\n`
const PASSED = { score: `${DAY(0.5)}GATE passed\n`, run: DAY(0.61), hunt: '4 days, 0 with a rule broken\n' }

test('runs without a regression pass, and a retired deployment is played only by name', async t => {
  const { exitCode, output, calls } = await regress([], PASSED)
  t.is(exitCode, 0, output)
  t.snapshot(calls)
  t.snapshot(output)
  t.deepEqual((await regress(['old', '--quick'], PASSED)).calls, ['score /sites/old.toml --quick --jobs 2 --why regression run of old'])
})

test('a failed gate, a broken rule, a fall beyond noise, a crash of the bench and output that cannot be read end with 1', async t => {
  for (const printed of [
    { ...PASSED, score: `${DAY(0.5)}GATE failed\n` },
    { ...PASSED, hunt: '4 days, 1 with a rule broken\n' },
    { ...PASSED, score: `${DAY(0.44)}GATE passed\n` },
    { ...PASSED, score: 'nothing that is known\n' },
    { run: PASSED.run, hunt: PASSED.hunt }
  ]) {
    const { exitCode, output } = await regress([], printed)
    t.is(exitCode, 1)
    t.snapshot(output.split('\n').filter(line => line.startsWith('small')).map(line => line.replace(/\s+/g, ' ')))
  }
})

test('an unknown deployment, an invalid list and a wrong option are refused with a message, and nothing is played', async t => {
  for (const outcome of [await regress(['unknown'], PASSED), await regress([], PASSED, [{ name: 'small' }]), await regress(['--jobs', '0'], PASSED)]) {
    t.is(outcome.exitCode, 2)
    t.deepEqual(outcome.calls, [])
    t.snapshot(outcome.output.replace(/\/\S+\/deployments.json/, 'deployments.json'))
  }
})

test('the list of this project is valid, and can be printed', async t => {
  t.true(readRegressionList(fileURLToPath(new URL('deployments.json', import.meta.url))).length > 0)
  const { exitCode, calls } = await regress(['--list'], PASSED)
  t.is(exitCode, 0)
  t.deepEqual(calls, [])
})
