/** Resources that a worker has or a task demands. Cores may be fractional. */
export interface Resources {
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
}

export const NO_RESOURCES: Resources = { cores: 0, memoryMb: 0, accelerators: 0 }

export function addResources (left: Resources, right: Resources): Resources {
  return {
    cores: left.cores + right.cores,
    memoryMb: left.memoryMb + right.memoryMb,
    accelerators: left.accelerators + right.accelerators
  }
}

export function subtractResources (left: Resources, right: Resources): Resources {
  return {
    cores: left.cores - right.cores,
    memoryMb: left.memoryMb - right.memoryMb,
    accelerators: left.accelerators - right.accelerators
  }
}

/** Whether `demand` fits into `available` in every dimension. */
export function isFitting (demand: Resources, available: Resources): boolean {
  return demand.cores <= available.cores && demand.memoryMb <= available.memoryMb && demand.accelerators <= available.accelerators
}
