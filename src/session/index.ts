/** Sessions and their signed tokens. */
export * from './contract.ts'
