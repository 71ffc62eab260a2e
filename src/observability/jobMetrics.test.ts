import test from 'ava'
import { JobMetrics } from './jobMetrics.ts'
import type { ForecastFigures } from './jobMetrics.ts'

test('an instance that does not coordinate any more does not show the figures of its last term', async t => {
  const metrics = new JobMetrics()
  let figures: ForecastFigures | undefined = { learnedModels: 12, remoteFactors: { data: 1.5, group: 2 }, declaredErrorFactor: 2.5, expectedErrorFactor: 1.4, slowTargets: 3 }
  metrics.showForecast(() => figures)
  t.snapshot((await metrics.render()).body)
  figures = undefined
  t.notRegex((await metrics.render()).body, /^agategauge_(run_time|remote|slow)/m)
})
