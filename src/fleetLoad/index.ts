/** The work of all gateways at endpoints, about a second old, for placement. */
export { type EndpointWork, type OthersWork, type WorkByEndpoint, loadKey } from './contract.ts'
export { LoadReports, type LoadReportsOptions } from './loadReports.ts'
export { decodeWork, encodeWork, isEncodedWork } from './workCodec.ts'
export { WorkNews } from './workNews.ts'
export { WorkSums, type SummedWork } from './workSums.ts'
