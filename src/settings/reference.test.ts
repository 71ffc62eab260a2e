import { readFile } from 'node:fs/promises'
import test from 'ava'
import { formatQuantity, parseQuantity } from './units.ts'
import { renderSettingsReference } from './reference.ts'

test('docs/settings.md matches the schema', async t => {
  t.is(await readFile(new URL('../../docs/settings.md', import.meta.url), 'utf8'), renderSettingsReference())
})

test('a formatted quantity parses back to the same value', t => {
  for (const unit of ['duration', 'memory', 'bytes', 'rate', 'processors', 'count', 'percent', 'weight'] as const) {
    for (const value of [0, 1, 999, 1_000, 1_024, 65_536, 250_000, 3_600_000]) t.deepEqual(parseQuantity(formatQuantity(value, unit), unit), { value }, `${value} ${unit}`)
  }
})
