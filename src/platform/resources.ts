/** Resource sizes in the platform's format. */
import { z } from 'zod'
import { resources } from '../model/resources.ts'
import type { Resources } from '../model/resources.ts'

const amount = z.number().nonnegative().default(0)

/** `cpu` is in millicores and `mem_mb` in megabytes; omitted fields are 0. */
export const resourcesSchema = z.object({ cpu: amount, mem_mb: amount, gpu: amount })

/** Decodes the size of a task, the capacity of a target or the cap of a team. */
export function decodeResources ({ cpu, mem_mb: memory, gpu }: z.infer<typeof resourcesSchema>): Resources {
  return resources({ processors: cpu, memory, accelerators: gpu })
}
