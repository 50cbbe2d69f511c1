import type { Result } from '@hibiscusledge/runtime/result.js'

export const ADVICE_ERROR_CODES = { busy: 'busy', unavailable: 'unavailable', malformed: 'malformed' } as const
export type AdviceErrorCode = typeof ADVICE_ERROR_CODES[keyof typeof ADVICE_ERROR_CODES]

export interface AdviceError {
  readonly code: AdviceErrorCode
  readonly message: string
}

/** A target that may run the step, with the ticket that the order to start the step there must carry. */
export interface AdvisedTarget {
  readonly targetId: string
  readonly ticket: string
}

/** Client of the policy service, which decides which targets may run a step. */
export interface AdviceGateway {
  /** Returns those of the targets that may run the step. */
  fetchAdvice (stepName: string, targetIds: readonly string[], timeoutMs: number): Promise<Result<readonly AdvisedTarget[], AdviceError>>
}
