/** Stand-ins for the platform and the endpoints, used by trials and tests. */
export { MemoryTableService } from './memoryTable.ts'
export { type StandIn } from './standInServer.ts'
export { startPlatform, type PlatformOptions } from './platform.ts'
export { PlatformFault, PlatformTarget } from './platformFaults.ts'
export { startEngine, type EngineOptions, type EngineRun } from './engine.ts'
export { EngineFault } from './engineFaults.ts'
export { startService, ServiceFault, type ServiceOptions, type ServiceRun } from './service.ts'
export { isCompleteAnswer, parseAnswerHeader, parsePrompt, trueScore, type AnswerHeader, type PromptDirectives } from './textProtocol.ts'
