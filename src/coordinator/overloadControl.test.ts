import test from 'ava'
import { SeededRandom } from '../adapters/random/seededRandom.ts'
import { OverloadControl } from './overloadControl.ts'

const TICK_MS = 10
const MEASURED_EACH_MS = 400
/** Processor time of one job: 170 jobs a second keep the coordinator busy. */
const JOB_MS = 1_000 / 170
/** A call that waits for longer has failed for its caller. */
const CALL_LIMIT_MS = 1_200
const FLOOD_MS = 20_000

interface Served {
  readonly offered: number
  readonly inTime: number
  readonly late: number
  readonly refused: number
}

/** Plays calls that a coordinator takes in turn, at so many a second; jobs that are taken cost time, also when they are late. */
function play (perSecond: number, admits: (control: OverloadControl, random: number) => boolean): Served {
  const [control, random] = [new OverloadControl(), new SeededRandom(7)]
  const waiting: number[] = []
  let [offered, inTime, late, refused, spareMs, workedMs] = [0, 0, 0, 0, 0, 0]
  for (let nowMs = 0; nowMs < FLOOD_MS; nowMs += TICK_MS) {
    for (; offered < perSecond * nowMs / 1_000; offered++) {
      if (admits(control, random.next())) waiting.push(nowMs)
      else refused += 1
    }
    for (spareMs = Math.min(spareMs, 0) + TICK_MS; spareMs > 0 && waiting.length > 0; spareMs -= JOB_MS) {
      workedMs += JOB_MS
      if (nowMs - waiting.shift()! <= CALL_LIMIT_MS) inTime += 1
      else late += 1
    }
    if (nowMs % MEASURED_EACH_MS === 0) {
      control.noteBusy(Math.min(1, workedMs / MEASURED_EACH_MS))
      workedMs = 0
    }
  }
  return { offered, inTime, late, refused }
}

test('flood beyond what a coordinator can take: most of what it can take is served in time, and the rest is told at once', t => {
  const naive = play(300, () => true)
  const controlled = play(300, (control, random) => control.admits(random))
  const capacity = FLOOD_MS / JOB_MS
  t.true(naive.inTime < capacity * 0.2, `without control ${naive.inTime} of ${naive.offered} are served in time`)
  t.true(controlled.inTime >= capacity * 0.85, `${controlled.inTime} of ${controlled.offered} are served in time, ${controlled.refused} refused`)
  t.true(controlled.late <= controlled.offered * 0.02, `${controlled.late} are late`)
})

test('calm load: nothing is refused', t => {
  t.is(play(140, (control, random) => control.admits(random)).refused, 0)
})

test('a change of office, which keeps a coordinator busy for a moment, does not make jobs refused', t => {
  const control = new OverloadControl()
  for (const part of [0.4, 1, 0.6]) control.noteBusy(part)
  t.is(control.admittedPart, 1)
})

test('the end of a flood: every job is taken again within four seconds', t => {
  const control = new OverloadControl()
  for (let measured = 0; measured < 20; measured++) control.noteBusy(1)
  t.true(control.admittedPart < 0.3)
  for (let measured = 0; measured < 10; measured++) control.noteBusy(0.7)
  t.is(control.admittedPart, 1)
})
