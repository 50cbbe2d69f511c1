import type { ApiResponse } from './api-response.js'

/** Thrown to end the handling of a request and send `response`. */
export class ApiError extends Error {
  readonly response: ApiResponse

  constructor (response: ApiResponse) {
    super(`request ended with status ${response.status}`)
    this.name = 'ApiError'
    this.response = response
  }
}
