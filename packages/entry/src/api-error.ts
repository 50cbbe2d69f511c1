import type { ApiResponse } from './api-response.js'

/** Ends the handling of one request with `response`. */
export class ApiError extends Error {
  readonly response: ApiResponse

  constructor (response: ApiResponse) {
    super(`answered with status ${response.status}`)
    this.name = 'ApiError'
    this.response = response
  }
}
