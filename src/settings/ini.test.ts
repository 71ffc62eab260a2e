import test from 'ava'
import fc from 'fast-check'
import { InputError } from '../model/errors.ts'
import { readSettingsFile } from './ini.ts'
import { readInstanceSettings } from './instanceSettings.ts'

const encode = (text: string): Uint8Array => new TextEncoder().encode(text)

const WHOLE_FILE = `; the cell
keyGrace = 5 s
[/kinds/urgent]
crossRegionWait = 50 ms ; after the round trip
[/teams/weavers]
share = 2.5
limitMemory = 64 GB
limitProcessors = 32 cores
retryBudget = 10 %
[/teams/weavers/kinds/batch]
preemptible = false
[/queues/kiosk]
open = true
team = weavers
`

const BAD_FILES: Readonly<Record<string, string | Uint8Array>> = {
  'unknown name': '[/teams/weavers]\nkeyGrce = 5 s\n',
  'name in the wrong branch': '[/kinds/batch]\nshare = 2\n',
  'wrong unit': '[/]\nkeyGrace = 5 GB\n',
  'missing unit': '[/teams/weavers]\nlimitMemory = 64\n',
  'unit where none belongs': '[/teams/weavers]\nlimitSlots = 4 cores\n',
  'out of range': '[/]\nkeyGrace = 2 h\n',
  'fraction of the smallest unit': '[/]\nkeyGrace = 1.0005 s\n',
  'duplicate name': '[/]\nkeyGrace = 5 s\nkeyGrace = 6 s\n',
  'duplicate section': '[/teams/weavers]\nshare = 1\n[/teams/weavers]\nkeyGrace = 5 s\n',
  'root given twice': 'keyGrace = 5 s\n[/]\nkeyGrace = 6 s\n',
  'unknown branch': '[/team/weavers]\nshare = 1\n',
  'unknown kind': '[/kinds/render]\npreemptible = true\n',
  'limit below the share': '[/]\ncapacityMemory = 1 TB\n[/teams/weavers]\nshare = 3\nlimitMemory = 64 GB\n[/teams/dyers]\nshare = 1\n',
  'cut short': '[/teams/weavers]\nshare = 2\nlimitMemory = 64 G',
  'not UTF-8': Uint8Array.from([...encode('[/]\n; caf'), 0xe9, 0x0a]),
  'no assignment': '[/teams/weavers]\nshare\n',
  'array syntax of the library': '[/teams/weavers]\nshare[] = 2\n',
  'prototype as a name': '[/teams/weavers]\n__proto__ = 2\nconstructor = 3\n',
  'open queue without a team': '[/queues/kiosk]\nopen = true\n',
  'queue of an unknown team': '[/queues/kiosk]\nopen = true\nteam = weavers\n',
  'wrong flag': '[/kinds/batch]\npreemptible = yes\n',
  'several faults': '[/]\nkeyGrace = 5\nshare = -1\n[/teams/WEAVERS]\nshare = 1\n'
}

test('a valid file is converted to stored units', t => {
  t.snapshot(readSettingsFile('cell.ini', encode(WHOLE_FILE)))
  t.deepEqual(readSettingsFile('cell.ini', encode(WHOLE_FILE.replaceAll('\n', '\r\n'))), readSettingsFile('cell.ini', encode(WHOLE_FILE)))
})

test('each problem in a file is reported with its line and a hint', t => {
  for (const [fault, content] of Object.entries(BAD_FILES)) {
    const bytes = typeof content === 'string' ? encode(content) : content
    const error = t.throws(() => readSettingsFile('cell.ini', bytes), { instanceOf: InputError }, fault)
    t.snapshot(error?.message, fault)
  }
})

test('a file truncated at any byte within a line is rejected', t => {
  const bytes = encode(WHOLE_FILE)
  for (let length = 1; length < bytes.length; length++) {
    const cut = bytes.subarray(0, length)
    if (cut.at(-1) === 0x0a) continue
    t.throws(() => readSettingsFile('cell.ini', cut), { instanceOf: InputError })
  }
})

test('a former name of a setting is not silently ignored', t => {
  const oldSettings = {
    withdrawalDelay: { type: 'renamed', to: 'keyGrace', since: '0.2.0' },
    burst: { type: 'retired', since: '0.2.0', advice: 'use retryBurst' }
  } as const
  t.deepEqual(readSettingsFile('cell.ini', encode('withdrawalDelay = 8 s\n'), oldSettings), { '/': { keyGrace: 8_000 } })
  t.throws(() => readSettingsFile('cell.ini', encode('burst = 3\n'), oldSettings), { message: 'cell.ini:1: burst was retired in version 0.2.0; use retryBurst' })
  t.throws(() => readSettingsFile('cell.ini', encode('keyGrace = 5 s\nwithdrawalDelay = 8 s\n'), oldSettings), { message: /cell.ini:2: withdrawalDelay is a duplicate of line 1/ })
})

test('invalid or missing instance settings are rejected, and the error shows no secret', t => {
  const right = ['name = entry-1', 'dataCentre = howrah', 'region = kolkata', 'callerAddress = 127.0.0.1:8000', 'operatorAddress = 127.0.0.1:8001',
    'peerAddress = [::1]:8002', 'storeAddress = store:7000', 'listAddress = list:7001', 'peers = 10.0.0.1:8002, 10.0.0.2:8002',
    'peerSecret = 0123456789abcdef', 'operatorToken = fedcba9876543210']
  t.snapshot(readInstanceSettings('entry-1.ini', encode(right.join('\n') + '\n')))
  const wrong = [...right.slice(1, -1).map(line => line.replace(':8001', ':8000')), 'operatorToken = "hunter2;hunter2;hunter2"', 'peerAdress = 127.0.0.1:8000', 'storTimeout = 1 s', 'peerTimeout = 1 h', 'logLevel = loud', 'listAdress = x:99999', '[/teams/weavers]', 'share = 2']
  const error = t.throws(() => readInstanceSettings('entry-1.ini', encode(wrong.join('\n') + '\n')), { instanceOf: InputError })
  t.false(error?.message.includes('hunter2'))
  t.snapshot(error?.message)
})

const SEED = 20_261
const fragment = fc.oneof(
  fc.constantFrom('[/]', '[/teams/weavers]', '[/queues/kiosk]', 'share = 2', 'keyGrace=5 s', 'limitMemory = "64 GB"', '\n', '\n', '\r', '[', ']', '=', ';', '__proto__ = 1', "'{\"a\":1}'", '\\', '\u0000', 'share = null'),
  fc.string({ unit: 'binary', maxLength: 12 })
)

test('the readers throw nothing but InputError on arbitrary input', t => {
  fc.assert(fc.property(fc.array(fragment, { maxLength: 30 }).map(parts => parts.join('')), text => {
    for (const read of [readSettingsFile, readInstanceSettings]) {
      try {
        read('cell.ini', encode(text))
      } catch (error) {
        if (!(error instanceof InputError)) throw error
      }
    }
  }), { seed: SEED, numRuns: 3_000 })
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
    try {
      readSettingsFile('cell.ini', bytes)
    } catch (error) {
      if (!(error instanceof InputError)) throw error
    }
  }), { seed: SEED, numRuns: 1_000 })
  t.pass()
})
