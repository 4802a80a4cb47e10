/** Command-line interface: all commands with their options, help and examples. Modules that only long-running commands need are imported when such a command runs. */
import { Command, CommanderError } from 'commander'
import type { Result } from '../contract/index.ts'
import { check } from './check.ts'
import { type CommandFailure, ExitCode } from './commandFailure.ts'
import { billVerify, requestShow } from './recordCommands.ts'
import { settingsDiff, settingsGet, settingsHistory, settingsPut } from './settingsCommands.ts'
import { status } from './statusCommand.ts'
import { versionRollOut, versionStatus, versionWithdraw } from './versionCommands.ts'

declare const LAVENDERDOOR_VERSION: string

/**
 * Runs one command and sets the exit code of the process: 0 for success, 1 for a failure, 2 for incorrect usage.
 *
 * @example
 * await runProgram(process.argv)
 */
export async function runProgram (argv: readonly string[]): Promise<void> {
  const program = new Command('lavenderdoor')
    .description('Routes model requests to the version that meets the quality target at the least cost.')
    .version(LAVENDERDOOR_VERSION)
    .addHelpText('after', examplesText('lavenderdoor serve --config daemon.toml', 'lavenderdoor check fleet.toml counter.toml'))
    .exitOverride()
  addDaemonCommands(program)
  addSettingsCommands(program)
  addVersionCommands(program)
  addRecordCommands(program)
  try {
    await program.parseAsync(argv)
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error
    process.exitCode = error.exitCode === 0 ? ExitCode.Success : ExitCode.Usage
  }
}

function addDaemonCommands (program: Command): void {
  program.command('serve')
    .description('Run a daemon until SIGTERM or SIGINT, then finish running requests.')
    .requiredOption('--config <file>', 'the daemon\'s local settings')
    .addHelpText('after', examplesText('lavenderdoor serve --config /etc/lavenderdoor/daemon.toml'))
    .action(async options => await reportOutcome(import('./serve.ts').then(({ serve }) => serve(options))))
  program.command('check')
    .description('Validate settings files offline: each on its own, and all teams\' files together.')
    .argument('[files...]', 'teams\' subtrees; the name of a file is the name of its team')
    .option('--local <file>', 'a daemon\'s local settings')
    .addHelpText('after', examplesText('lavenderdoor check fleet.toml counter.toml --local daemon.toml'))
    .action(async (files, options) => await reportOutcome(check(files, options)))
  program.command('status')
    .description('Show the status of a daemon.')
    .argument('<address>', 'IP:port of the daemon\'s operators\' server')
    .option('--json', 'print JSON')
    .addHelpText('after', examplesText('lavenderdoor status 127.0.0.1:9100 --json'))
    .action(async (address, options) => await reportOutcome(status(address, options)))
  program.command('stand-in')
    .description('Run a stand-in for the platform, a model engine or a plain service, for trials.')
    .argument('<kind>', 'platform, engine or service')
    .requiredOption('--listen <address>', 'IP:port')
    .option('--name <name>', 'name of the endpoint')
    .option('--versions <versions...>', 'versions that an engine has loaded')
    .option('--speed <factor>', 'relative speed of an engine, 1 for new hardware')
    .option('--streams <count>', 'maximum number of concurrent streams of an engine')
    .option('--ignore-fencing', 'accept orders with an outdated fencing token (engine only)')
    .addHelpText('after', examplesText('lavenderdoor stand-in engine --listen 127.0.0.1:9001 --name engine-1 --versions small@1'))
    .action(async (kind, options) => await reportOutcome(import('./standInCommand.ts').then(({ runStandIn }) => runStandIn(kind, options))))
}

function addSettingsCommands (program: Command): void {
  const settings = program.command('settings').description('Read and change the operators\' settings.')
  withPlatformOptions(settings.command('get'))
    .description('Print a team\'s subtree with its revision.')
    .argument('<team>')
    .addHelpText('after', examplesText('lavenderdoor settings get fleet --platform 127.0.0.1:7000 > fleet.toml'))
    .action(async (team, options) => await reportOutcome(settingsGet(team, options)))
  withPlatformOptions(settings.command('put'))
    .description('Replace a team\'s subtree, unless it was changed since it was read.')
    .argument('<team>')
    .argument('<file>')
    .option('--expected <revision>', 'the revision that the file is based on; 0 for a new team')
    .option('--author <name>', 'author of the change')
    .addHelpText('after', examplesText('lavenderdoor settings put fleet fleet.toml --platform 127.0.0.1:7000'))
    .action(async (team, file, options) => await reportOutcome(settingsPut(team, file, options)))
  withPlatformOptions(settings.command('diff'))
    .description('Show how a file differs from a team\'s subtree.')
    .argument('<team>')
    .argument('<file>')
    .addHelpText('after', examplesText('lavenderdoor settings diff fleet fleet.toml --platform 127.0.0.1:7000'))
    .action(async (team, file, options) => await reportOutcome(settingsDiff(team, file, options)))
  withPlatformOptions(settings.command('history'))
    .description('List accepted changes, oldest first.')
    .argument('[team]')
    .addHelpText('after', examplesText('lavenderdoor settings history fleet --platform 127.0.0.1:7000 --json'))
    .action(async (team, options) => await reportOutcome(settingsHistory(team, options)))
}

function addVersionCommands (program: Command): void {
  const version = program.command('version').description('Roll out and withdraw versions.')
  withTeamOptions(version.command('roll-out'))
    .description('Start or resume a roll-out.')
    .argument('<model>')
    .argument('<from>', 'the version in service')
    .argument('<to>', 'the new version')
    .option('--share <share>', 'the initial share of new sessions')
    .addHelpText('after', examplesText('lavenderdoor version roll-out small 1 2 --team fleet --share 0.05 --platform 127.0.0.1:7000'))
    .action(async (model, from, to, options) => await reportOutcome(versionRollOut(model, from, to, options)))
  withTeamOptions(version.command('withdraw'))
    .description('Withdraw a version: it receives no new requests.')
    .argument('<version>', 'model@version')
    .addHelpText('after', examplesText('lavenderdoor version withdraw small@1 --team fleet --platform 127.0.0.1:7000'))
    .action(async (name, options) => await reportOutcome(versionWithdraw(name, options)))
  withTeamOptions(version.command('status'))
    .description('Show versions and roll-outs, and the revision in force at daemons.')
    .option('--daemon <addresses...>', 'IP:port of daemons\' operators\' servers')
    .addHelpText('after', examplesText('lavenderdoor version status --team fleet --platform 127.0.0.1:7000 --daemon 127.0.0.1:9100'))
    .action(async options => await reportOutcome(versionStatus(options)))
}

function addRecordCommands (program: Command): void {
  const request = program.command('request').description('Inspect requests that are not idempotent.')
  withPlatformOptions(request.command('show'))
    .description('Show the state of a request.')
    .argument('<organisation>')
    .argument('<key>', 'its Idempotency-Key')
    .addHelpText('after', examplesText('lavenderdoor request show harbour refund-7 --platform 127.0.0.1:7000'))
    .action(async (organisation, key, options) => await reportOutcome(requestShow(organisation, key, options)))
  const bill = program.command('bill').description('Inspect bills.')
  withPlatformOptions(bill.command('verify'))
    .description('Verify all bills: no duplicate and no missing entries.')
    .addHelpText('after', examplesText('lavenderdoor bill verify --platform 127.0.0.1:7000'))
    .action(async options => await reportOutcome(billVerify(options)))
}

function withPlatformOptions (command: Command): Command {
  return command
    .option('--platform <address>', 'IP:port of the table service')
    .option('--config <file>', 'a daemon\'s local settings, which give the address of the table service')
    .option('--json', 'print JSON')
}

function withTeamOptions (command: Command): Command {
  return withPlatformOptions(command)
    .requiredOption('--team <team>', 'the team whose subtree holds the model')
    .option('--author <name>', 'author of the change')
}

function examplesText (...lines: string[]): string {
  return `\nExamples:\n${lines.map(line => `  ${line}`).join('\n')}`
}

async function reportOutcome (outcome: Promise<Result<void, CommandFailure>>): Promise<void> {
  const result = await outcome
  if (result.ok) return
  process.stderr.write(`${result.val.message}\n`)
  process.exitCode = result.val.code
}
