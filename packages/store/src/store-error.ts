export const STORE_ERROR_CODES = {
  unavailable: 'unavailable',
  timeout: 'timeout',
  rateLimited: 'rateLimited',
  tooLarge: 'tooLarge',
  leaseNotFound: 'leaseNotFound',
  protocol: 'protocol'
} as const
export type StoreErrorCode = typeof STORE_ERROR_CODES[keyof typeof STORE_ERROR_CODES]

/** A failed call to the platform's store. */
export interface StoreError {
  readonly code: StoreErrorCode
  readonly message: string
  /** Whether a write may have taken effect although no response arrived. */
  readonly isEffectUnknown: boolean
}

/** Whether the store has rejected a call because of its content, so that the same call would be rejected again. */
export function isRejection ({ code, isEffectUnknown }: StoreError): boolean {
  return !isEffectUnknown && (code === STORE_ERROR_CODES.tooLarge || code === STORE_ERROR_CODES.protocol)
}
