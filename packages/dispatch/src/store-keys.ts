/** Prefix of the owner records, `hl/owner/<unit>`. */
export const OWNER_KEY_PREFIX = 'hl/owner/'
/** Prefix of the ledger segments, `hl/ledger/<partition number>/<sequence>`. */
export const LEDGER_KEY_PREFIX = 'hl/ledger/'
