import type { Finding } from '@hibiscusledge/runtime/finding.js'
import type { Result } from '@hibiscusledge/runtime/result.js'

/** An entry of the platform's instance list, which lists targets: a worker or an executor. The list lags behind the actual state. */
export interface ListedTarget {
  readonly id: string
  readonly kind: 'executor' | 'worker'
  readonly address: string
  readonly state: 'live' | 'leaving'
  readonly failureDomain: string
  readonly rack: string
  readonly cores: number
  readonly memoryMb: number
  readonly accelerators: number
  readonly slots: number
  readonly connections: number
  readonly labels: Readonly<Record<string, string>>
}

/** The list of live and leaving targets that the platform provides under the name instance list. */
export interface TargetList {
  fetchTargets (): Promise<Result<readonly ListedTarget[], readonly Finding[]>>
}
