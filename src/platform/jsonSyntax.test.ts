import test from 'ava'
import fc from 'fast-check'
import { findSyntaxProblem, formatPosition } from './jsonSyntax.ts'

const SEED = 12

function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

test('exactly the texts that JSON.parse refuses have a syntax problem', t => {
  const mutation = fc.record({ at: fc.nat(), remove: fc.nat({ max: 2 }), insert: fc.constantFrom('', '"', ',', ':', '}', ']', '[', '0', '-', '.', 'e', '\\', '\n', ' ', '\ufeff', 'true') })
  fc.assert(fc.property(fc.json({ maxDepth: 3 }), fc.array(mutation, { maxLength: 2 }), (json, mutations) => {
    const text = mutations.reduce((changed, { at, remove, insert }) => {
      const offset = at % (changed.length + 1)
      return changed.slice(0, offset) + insert + changed.slice(offset + remove)
    }, json)
    return (findSyntaxProblem(text) === undefined) === isJson(text)
  }), { seed: SEED, numRuns: 2_000 })
  t.pass()
})

test('the position of the first problem is found, also where JSON.parse gives none', t => {
  const texts = ['', '{"a":}', '{\n  "a": 1\n  "b": 2}', '[1,]', '{"a":1,}', '["open', '"\\x"', '01', '{} {}', '[tru]', '\ufeff{}']
  t.snapshot(texts.map(text => {
    const problem = findSyntaxProblem(text)
    return `${JSON.stringify(text)}: ${formatPosition(text, problem?.offset ?? -1)}: expected ${problem?.expected}`
  }))
})

test('deep nesting does not exceed the stack', t => {
  t.is(findSyntaxProblem('['.repeat(1_000_000))?.offset, 1_000_000)
})
