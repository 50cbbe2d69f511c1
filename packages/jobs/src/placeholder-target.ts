import type { TargetDescription } from './target-gateway.js'

/** Describes a target that may have a run and that the directory hasn't listed yet. It gets no tasks. */
export function createPlaceholderDescription (id: string): TargetDescription {
  return {
    id,
    address: '',
    service: '',
    failureDomain: '',
    isDraining: true,
    capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
    labels: []
  }
}
