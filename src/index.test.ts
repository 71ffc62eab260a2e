import test from 'ava'
import { runEmbedding } from '../examples/embedding.ts'
import * as library from './index.ts'

test('the example of docs/library.md does not differ from what the parts do', async t => {
  t.snapshot(await runEmbedding())
})

test('no public value leaves the library by accident', t => {
  t.snapshot(Object.keys(library).sort())
})
