/** Billing: each request is billed exactly once. */
export * from './contract.ts'
