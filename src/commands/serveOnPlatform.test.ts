import test from 'ava'
import { build } from 'esbuild'
import type { CommandContext } from './commandContext.ts'
import { runProgram } from './program.ts'
import { PLATFORM_SETTINGS_VARIABLE, runOnPlatform } from './serveOnPlatform.ts'

function createContext (environment: CommandContext['environment']): CommandContext & { readonly errors: string[] } {
  const errors: string[] = []
  return { print: () => {}, printError: text => { errors.push(text) }, environment, operator: 'test', createChangeId: () => '', createRandomBytes: count => Buffer.alloc(count), errors }
}

test('a start without the command-line parser reports the same errors, with the same exit codes, as one with it', async t => {
  for (const environment of [{}, { [PLATFORM_SETTINGS_VARIABLE]: '/nonexistent/local.toml' }]) {
    const [direct, parsed] = [createContext(environment), createContext(environment)]
    const exitCode: number = await runOnPlatform(direct)
    t.is(exitCode, await runProgram(['serve', '--platform'], parsed))
    t.deepEqual(direct.errors, parsed.errors)
    t.is(direct.errors.length, 1)
  }
})

test('a restarted instance is not delayed by modules that the service does not need', async t => {
  const entryPoints = ['src/main.ts', 'src/commands/serveOnPlatform.ts', 'src/platform/startOnPlatform.ts']
  const { metafile } = await build({ entryPoints, bundle: true, platform: 'node', outdir: 'unused', write: false, metafile: true, logLevel: 'silent' })
  const loaded = new Set(entryPoints)
  for (const file of loaded) {
    for (const { path, kind } of metafile.inputs[file]?.imports ?? []) if (kind !== 'dynamic-import') loaded.add(path)
  }
  t.true(loaded.has('src/entry/jobInstance.ts'))
  t.deepEqual([...loaded].filter(file => /node_modules\/(yargs|@connectrpc|@bufbuild)\/|undici\/index\.js|src\/commands\/program|src\/settings\/schema/.test(file)), [])
})
