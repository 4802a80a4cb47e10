/** How gateways tell each other what they have learnt. */
export { NewsExchange, type NewsExchangeOptions } from './newsExchange.ts'
export { logLimitChange } from './limitLog.ts'
export { logMisdirection } from './misdirectionLog.ts'
