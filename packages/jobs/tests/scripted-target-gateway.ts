import { Err, Ok, type Result } from '@hibiscusledge/runtime/result.js'
import type {
  OrderAnswer, OrderError, OrderErrorCode, PollOrder, StartOrder, StopOrder, TargetEndpoint, TargetGateway, TargetReport
} from '../src/target-gateway.js'

/** One call that a session has sent and that the test answers when it chooses. */
export interface PendingCall<Order, Answer> {
  readonly order: Order
  answer: (answer: Answer) => Promise<void>
  lose: () => Promise<void>
  refuse: (code: OrderErrorCode) => Promise<void>
}

/** A gateway to one target of which the test writes every answer, in any order. */
export class ScriptedTargetGateway implements TargetGateway {
  readonly starts: PendingCall<StartOrder, OrderAnswer>[] = []
  readonly stops: PendingCall<StopOrder, OrderAnswer>[] = []
  readonly polls: PendingCall<PollOrder, TargetReport>[] = []
  readonly #settle: () => Promise<void>

  /** `settle` lets the session handle an answer. */
  constructor (settle: () => Promise<void>) {
    this.#settle = settle
  }

  async startRun (_target: TargetEndpoint, order: StartOrder): Promise<Result<OrderAnswer, OrderError>> {
    return await this.#hold(this.starts, order)
  }

  async stopRun (_target: TargetEndpoint, order: StopOrder): Promise<Result<OrderAnswer, OrderError>> {
    return await this.#hold(this.stops, order)
  }

  async fetchReport (_target: TargetEndpoint, order: PollOrder): Promise<Result<TargetReport, OrderError>> {
    return await this.#hold(this.polls, order)
  }

  removeTarget (): void {}

  async #hold<Order, Answer> (calls: PendingCall<Order, Answer>[], order: Order): Promise<Result<Answer, OrderError>> {
    return await new Promise((resolve) => {
      const finish = async (result: Result<Answer, OrderError>): Promise<void> => {
        calls.splice(calls.indexOf(call), 1)
        resolve(result)
        await this.#settle()
      }
      const call: PendingCall<Order, Answer> = {
        order,
        answer: async (answer) => await finish(Ok(answer)),
        lose: async () => await finish(Err({ code: 'noAnswer', message: 'no answer in time' })),
        refuse: async (code) => await finish(Err({ code, message: code }))
      }
      calls.push(call)
    })
  }
}

/** Creates a report of the incarnation that started at `startedAtMs`, which is 0 on its clock. */
export function createReport (values: Partial<TargetReport> = {}): TargetReport {
  return { startedAtMs: 1, targetClockMs: 10_000, running: [], ended: [], ...values }
}
