import { setTimeout as sleep } from 'node:timers/promises'
import test from 'ava'
import type { ManagedProcess } from '../processes/childProcess.ts'
import { ProcessorShare } from './processorShare.ts'

class RecordedProcess {
  readonly signals: string[] = []
  hasEnded = false

  suspend (): void {
    this.signals.push('suspend')
  }

  resume (): void {
    this.signals.push('resume')
  }
}

// Guards against a soak that leaves a process stopped for good, or that continues one which a fault has paused.
test('a process with a share is suspended and resumed in turn and resumed at the end; one with a whole processor, or that is left alone, is not', async t => {
  const [small, whole, paused] = [new RecordedProcess(), new RecordedProcess(), new RecordedProcess()]
  let pausedNow: RecordedProcess | undefined = paused
  const share = new ProcessorShare({ shares: [0.3, 1, 0.3], processes: () => [small, whole, pausedNow] as unknown as readonly ManagedProcess[] })
  share.start()
  while (!paused.signals.includes('suspend') || small.signals.length < 4) await sleep(5)
  pausedNow = undefined
  await sleep(20)
  const signalsAtPause = paused.signals.length
  while (small.signals.at(-1) !== 'suspend') await sleep(1)
  share.stop()
  t.is(paused.signals.length, signalsAtPause)
  t.deepEqual(whole.signals, [])
  t.true(small.signals.every((signal, position) => signal === (position % 2 === 0 ? 'suspend' : 'resume')), small.signals.join(' '))
  t.is(small.signals.at(-1), 'resume')
})
