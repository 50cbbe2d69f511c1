/** Issues the fencing tokens of one owner, which are lower than those of the next owner. */
export interface FencingTokenSource {
  /** Returns the highest token issued so far. */
  readNewestToken (): number
  /** Has a token above this one issued, and calls back once it is. */
  requestTokenAbove (token: number, callback: () => void): void
}
