/** Claims: at most one run of each non-idempotent request. */
export * from './contract.ts'
export { TableClaims, type TableClaimsOptions } from './tableClaims.ts'
export { ClaimPoint, ClaimSteps, type ClaimObserver } from './claimPoint.ts'
export { claimKeyOf, parseClaimRow, claimTableName, ClaimState, type ClaimRow } from './claimRow.ts'
