/** The decisions: version, endpoint, limits, attempts and roll-outs. */
export * from './contract.ts'
