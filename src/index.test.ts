import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import test from 'ava'
import { runEmbedding } from '../examples/embedding.ts'
import * as library from './index.ts'

test('the embedding example prints the output shown in docs/library.md', async t => {
  t.snapshot(await runEmbedding())
})

test('the library exports only the expected values', t => {
  t.snapshot(Object.keys(library).sort())
})

test('the built package exports the same values as the source', async t => {
  const script = "import('agategauge').then(library => process.stdout.write(JSON.stringify(Object.keys(library))))"
  const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', script])
  t.deepEqual(JSON.parse(stdout).sort(), Object.keys(library).sort())
})
