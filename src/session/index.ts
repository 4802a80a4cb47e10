/** Sessions and their signed tokens. */
export * from './contract.ts'
export { SignedSessionTokens, type SignedSessionTokensOptions } from './signedSessionTokens.ts'
