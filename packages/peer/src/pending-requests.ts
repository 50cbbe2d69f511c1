import type { Clock, Timer } from '@hibiscusledge/runtime/clock.js'
import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type { PeerLink } from './peer-link.js'
import { PEER_ERROR_CODES, type PeerError } from './peer-network.js'

type Outcome = Result<unknown, PeerError>

interface PendingRequest { readonly link: PeerLink, readonly timer: Timer, readonly resolve: (outcome: Outcome) => void }

/** Requests that wait for replies. A reply must match the id of the request and arrive on the same link. */
export class PendingRequests {
  readonly #clock: Clock
  readonly #pending = new Map<number, PendingRequest>()
  #nextId = 1

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Calls `send` with a new request id and waits for the reply. An error returned by `send` ends the request. */
  async add (link: PeerLink, timeoutMs: number, send: (id: number) => PeerError | undefined): Promise<Outcome> {
    const id = this.#nextId++
    return await new Promise<Outcome>((resolve) => {
      const timer = this.#clock.startTimer(timeoutMs, () => {
        this.#settle(id, Err({ code: PEER_ERROR_CODES.timeout, message: `no reply within ${timeoutMs} ms` }))
      })
      this.#pending.set(id, { link, timer, resolve })
      const error = send(id)
      if (error !== undefined) this.#settle(id, Err(error))
    })
  }

  /** Resolves the request with this id, if it was sent on `link`. */
  settleReply (link: PeerLink, id: number, body: unknown, error: PeerError | undefined): void {
    if (this.#pending.get(id)?.link === link) this.#settle(id, error === undefined ? Ok(body) : Err(error))
  }

  /** Fails all requests that were sent on `link` with `closed`. */
  failLink (link: PeerLink): void {
    for (const [id, request] of this.#pending) {
      if (request.link === link) this.#settle(id, Err({ code: PEER_ERROR_CODES.closed, message: 'the link closed before the reply' }))
    }
  }

  #settle (id: number, outcome: Outcome): void {
    const request = this.#pending.get(id)
    if (request === undefined) return
    this.#pending.delete(id)
    request.timer.cancel()
    request.resolve(outcome)
  }
}
