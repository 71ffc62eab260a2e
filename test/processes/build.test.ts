import { copyFile, mkdir, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import { ManagedProcess, runToCompletion } from './childProcess.ts'

const BUILD = [process.execPath, 'scripts/build.mjs']

// Guards against a build that fails and leaves the program of earlier sources in place, since a process of that still runs.
test.serial('a build replaces a program that is running, and tells the program of other sources from its own', async t => {
  const directory = await mkdtemp(join(tmpdir(), 'agategauge-build-'))
  t.teardown(async () => await rm(directory, { recursive: true }))
  const folder = join(directory, 'target')
  const program = join(folder, 'agategauge')
  await mkdir(folder)
  await copyFile(process.execPath, program)
  const earlier = new ManagedProcess('earlier', [program, '-e', 'console.log("runs"); setInterval(() => {}, 1_000)'])
  t.teardown(async () => await earlier.kill())
  await earlier.waitForLine(line => line === 'runs')
  const beforeBuild = await runToCompletion([...BUILD, folder, '--check'])
  t.is(beforeBuild.code, 1)
  t.regex(beforeBuild.output, /is v\d+.*; these sources are build [0-9a-f]{12}\. Run: node scripts\/build\.mjs /)
  const build = await runToCompletion([...BUILD, folder])
  t.is(build.code, 0, build.errorOutput)
  const afterBuild = await runToCompletion([...BUILD, folder, '--check'])
  t.is(afterBuild.code, 0, afterBuild.output)
  const { output } = await runToCompletion([program, '--version'])
  t.regex(output, /^\d+\.\d+\.\d+ \(build [0-9a-f]{12}\)\n$/)
})
