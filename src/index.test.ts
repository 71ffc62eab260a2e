import { execFile } from 'node:child_process'
import { promisify } from 'node:util'
import test from 'ava'
import { runEmbedding } from '../examples/embedding.ts'
import * as library from './index.ts'

test('the example of docs/library.md does not differ from what the parts do', async t => {
  t.snapshot(await runEmbedding())
})

test('no public value leaves the library by accident', t => {
  t.snapshot(Object.keys(library).sort())
})

test('the built package does not lack what the sources export', async t => {
  const script = "import('agategauge').then(library => process.stdout.write(JSON.stringify(Object.keys(library))))"
  const { stdout } = await promisify(execFile)(process.execPath, ['--input-type=module', '-e', script])
  t.deepEqual(JSON.parse(stdout).sort(), Object.keys(library).sort())
})
