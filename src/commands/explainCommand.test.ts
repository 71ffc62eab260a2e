import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { runProgram } from './program.ts'

/** Log lines of two instances, recorded in a test run. */
const COORDINATOR_LOG = `
  17.4341 edge-attica-a-1 {"level":"info","time":"2026-08-21T04:16:25.432Z","instance":"edge-attica-a-1","dataCentre":"attica-a","job":"659ea78f0efd56af","team":"pule361","queue":"r-xjh7fyp","withinShare":true,"version":31,"tasks":2,"msg":"job accepted"}
  17.4603 edge-attica-a-1 {"level":"info","time":"2026-08-21T04:16:25.459Z","instance":"edge-attica-a-1","dataCentre":"attica-a","job":"659ea78f0efd56af","step":"659ea78f0efd56af.0.0","tasks":[[0,1,"i-70093b21fe"],[1,1,"i-955a5b624c"]],"msg":"tasks placed"}
  17.5000 edge-attica-a-1 {"level":"info","time":"2026-08-21T04:16:25.500Z","instance":"edge-attica-a-1","dataCentre":"attica-a","job":"another","msg":"job accepted"}
`
const ENTRY_LOG = `not a log line about 659ea78f0efd56af
{"level":"warn","time":"2026-08-21T04:16:25.440Z","instance":"edge-macedonia-a-1","dataCentre":"macedonia-a","path":"/ziwu862/659ea78f0efd56af","action":"read","outcome":"unavailable","reason":"no desired state is known yet","msg":"call not served"}
{"broken 659ea78f0efd56af
`

async function explain (id: string): Promise<{ readonly exitCode: number, readonly output: string, readonly errors: string }> {
  const folder = mkdtempSync(join(tmpdir(), 'explain-'))
  const files = [COORDINATOR_LOG, ENTRY_LOG].map((text, number) => {
    const file = join(folder, `${number}.log`)
    writeFileSync(file, text)
    return file
  })
  const output: string[] = []
  const errors: string[] = []
  const exitCode = await runProgram(['explain', id, ...files], {
    print: text => output.push(text), printError: text => errors.push(text), environment: {}, operator: 'test', createChangeId: () => '', createRandomBytes: () => Buffer.alloc(0)
  })
  return { exitCode, output: output.join('\n'), errors: errors.join('\n').replaceAll(folder, '') }
}

test('shows only the log lines of the given job, ordered by time across instances', async t => {
  t.snapshot(await explain('659ea78f0efd56af'))
})

test('an ID that no log line mentions is an error, not empty output', async t => {
  const { exitCode, errors } = await explain('0000')
  t.is(exitCode, 1)
  t.regex(errors, /mentions 0000/)
})
