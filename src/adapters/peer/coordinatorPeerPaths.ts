/** HTTP paths of the job calls between instances, and what both sides read. */
import { z } from 'zod'

export const PEER_PATHS = {
  handle: '/jobs/handle',
  report: '/jobs/report',
  release: '/jobs/release',
  reachesStore: '/jobs/reaches-store',
  advise: '/jobs/advise',
  relay: '/jobs/relay',
  announce: '/jobs/announce'
} as const

export const coordinatorSchema = z.object({ instance: z.string(), address: z.string(), fence: z.number(), lease: z.number() })
