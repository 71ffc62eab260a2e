import test from 'ava'
import { createLogger } from './logger.ts'
import { Metrics } from './metrics.ts'
import { TeamLabels } from './teamLabels.ts'

test('no key, token or secret reaches a log line, wherever it stands', t => {
  const lines: string[] = []
  const secret = 'peer"secret\\0123456789'
  const token = 'operator-token-0123456789'
  const key = `agk_${'aB3_-'.repeat(8)}xyz`
  const logger = createLogger({ level: 'debug', instance: 'entry-1', dataCentre: 'howrah', secrets: [secret, token], destination: { write: line => { lines.push(line) } } })
  logger.info({ key, headers: { authorization: `Bearer ${key}` } }, 'refused')
  logger.warn({ deep: { deeper: { deepest: [{ value: `x${key}y` }] } }, operatorToken: 'short' }, `text with ${key}`)
  logger.error(new Error(`peer answered: bearer unknown-token-format ${secret} ${token}`))
  logger.info({ settings: { peerSecret: 'other' } }, `child of ${token}`)
  logger.child({ team: 'weavers', token }).debug({ requestId: 'r-1', verdict: 'not-run' }, 'shed')
  const text = lines.join('')
  for (const hidden of [key, secret, JSON.stringify(secret).slice(1, -1), token, 'unknown-token-format', 'short', '"other"']) t.false(text.includes(hidden), hidden)
  const last = JSON.parse(lines.at(-1) ?? '')
  t.like(last, { level: 'debug', instance: 'entry-1', dataCentre: 'howrah', team: 'weavers', requestId: 'r-1', verdict: 'not-run', msg: 'shed' })
})

test('many teams do not make the number of time series grow without bound', async t => {
  const metrics = new Metrics(new TeamLabels(2))
  for (const team of ['weavers', 'dyers', 'spinners', 'potters']) {
    metrics.observeWaiting(team, 'urgent', 3)
    metrics.countRefusal(team, 'batch', 'shed', 'not-run')
    metrics.setQueued(team, 'batch', 4)
  }
  const { body, contentType } = await metrics.render()
  t.regex(contentType, /text\/plain/)
  t.true(body.includes('agategauge_refusals_total{team="other",kind="batch",code="shed",verdict="not-run"} 2'))
  t.true(body.includes('agategauge_queue_entries{team="dyers",kind="batch"} 4'))
  t.false(body.includes('spinners'))
  t.false(body.includes('agategauge_queue_entries{team="other"'))
})
