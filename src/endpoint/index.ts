/** Calls to model engines and plain services. */
export * from './contract.ts'
