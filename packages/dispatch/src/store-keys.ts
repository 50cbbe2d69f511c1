/** Prefix of the keys of owner records, `hl/owner/<unit>`. */
export const OWNER_KEY_PREFIX = 'hl/owner/'
/** Prefix of the keys of ledger segments, `hl/ledger/<partition number>/<sequence number>`. */
export const LEDGER_KEY_PREFIX = 'hl/ledger/'
