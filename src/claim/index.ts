/** Claims: at most one run of each non-idempotent request. */
export * from './contract.ts'
