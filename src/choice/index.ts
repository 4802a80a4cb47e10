/** The decisions: version, endpoint, limits, attempts and roll-outs. */
export * from './contract.ts'
export { AffinityEndpointPolicy, type EndpointPolicyParts } from './endpointPolicy.ts'
export { type EndpointTuning, endpointTuning } from './endpointTuning.ts'
export { LinkBudget } from './endpointLink.ts'
export { ShareAdmissionPolicy, type ShareAdmissionTuning } from './limits.ts'
export { fairAllowances, type Claimant } from './limitsFairness.ts'
export { RatioAttemptBudget, type RatioAttemptBudgetFigures } from './budget.ts'
