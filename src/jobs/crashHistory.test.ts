import test from 'ava'
import { isCulprit, NO_CRASHES, recordCrash, requiresIsolation } from './crashHistory.ts'
import type { CrashEvidence, CrashHistory } from './crashHistory.ts'

/** Users allow two starts after the third crash. */
const MAX_CRASHES_ALLOWED = 5

function historyOf (...evidence: readonly CrashEvidence[]): CrashHistory {
  return evidence.reduce((history, each, position) => recordCrash(history, position + 1, each, `worker-${position}`), NO_CRASHES)
}

test('a task that only shared the crashes of its targets is never given up, however many there were', t => {
  t.false(isCulprit(historyOf(...Array.from({ length: 20 }, () => 'shared' as const))))
  t.false(isCulprit(historyOf('suspected', 'suspected', 'suspected', 'suspected', 'suspected')))
})

test('a task that crashes every target is given up within the starts that users allow, unless each crash has another explanation', t => {
  for (const first of ['shared', 'suspected', 'lone'] as const) {
    for (const second of first === 'shared' ? ['shared', 'suspected', 'lone'] as const : ['lone', 'shared'] as const) {
      // From here on it runs alone; one of its crashes may coincide with those of other targets.
      const rest: CrashEvidence[] = ['lone', 'shared', 'lone']
      const history: CrashEvidence[] = [first, second]
      while (!isCulprit(historyOf(...history))) history.push(rest.shift() as CrashEvidence)
      t.true(history.length <= MAX_CRASHES_ALLOWED, history.join(' '))
      t.true(history.length >= 2)
    }
  }
})

test('a task is isolated once it is suspected or has lost two targets', t => {
  t.deepEqual([historyOf(), historyOf('shared'), historyOf('suspected'), historyOf('shared', 'shared'), historyOf('lone')].map(requiresIsolation), [false, false, true, true, true])
})

test('a lasting task that was at work for long before a crash is not given up for crashes of other times', t => {
  t.false(isCulprit(historyOf('lone', 'cleared', 'lone')))
  t.false(requiresIsolation(historyOf('lone', 'cleared')))
})

test('a crash that is recorded twice counts once', t => {
  t.is(recordCrash(historyOf('lone'), 1, 'lone', 'worker-9').loneTargets.length, 1)
})

test('a target that crashes again and again does not prove that its task is the cause before the last start that users allow', t => {
  const crashes = (count: number): CrashHistory => Array.from({ length: count }).reduce<CrashHistory>((history, _, position) => recordCrash(history, position + 1, 'lone', 'worker-1'), NO_CRASHES)
  t.false(isCulprit(crashes(MAX_CRASHES_ALLOWED - 1)))
  t.true(isCulprit(crashes(MAX_CRASHES_ALLOWED)))
  t.true(isCulprit(recordCrash(crashes(2), 3, 'lone', 'worker-2')))
  const suspectedFirst = Array.from({ length: 4 }).reduce<CrashHistory>((history, _, position) => recordCrash(history, position + 2, 'lone', 'worker-1'), recordCrash(NO_CRASHES, 1, 'suspected', 'worker-1'))
  t.true(isCulprit(suspectedFirst), 'where there is only one target')
})
