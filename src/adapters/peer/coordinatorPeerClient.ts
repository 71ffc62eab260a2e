/** Calls other instances about jobs by `connect-es`. */
import { Agent } from 'node:http'
import { create } from '@bufbuild/protobuf'
import { createClient } from '@connectrpc/connect'
import type { Client } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import type { CallerAnswer, CallerCall } from '../../entry/callerCall.ts'
import * as wire from '../../generated/coordinator_pb.ts'
import type { Component } from '../../lifecycle/component.ts'
import type { CoordinatorPeer, CoordinatorPeers, InstanceReport, ReportAnswer } from '../../ports/coordinatorPeer.ts'
import type { AdviceQuestion, AllowedTarget } from '../../ports/placementAdvisor.ts'
import { decodeAnswer, decodeReportAnswer } from './coordinatorCodec.ts'

/** An acceptance waits for one commit of the store, 80 ms when it is slow. */
const HANDLE_TIMEOUT_MS = 1_200
const REPORT_TIMEOUT_MS = 600
/** The peer makes one call to the store. */
const RELEASE_TIMEOUT_MS = 1_000
/** Added to the time that the advisor needs. */
const ADVICE_SLACK_MS = 1_800
const KEEP_ALIVE_MS = 5_000
/** Calls of one instance to another at the same time; more wait for a connection. */
const CONNECTIONS = 24

interface Connection {
  readonly agent: Agent
  readonly peer: CoordinatorPeer
}

export class CoordinatorPeerClient implements CoordinatorPeers, Component {
  readonly name = 'coordinator peer client'
  readonly #connections = new Map<string, Connection>()

  async start (): Promise<void> {}

  async stop (): Promise<void> {
    for (const { agent } of this.#connections.values()) agent.destroy()
    this.#connections.clear()
  }

  connect (address: string): CoordinatorPeer {
    const known = this.#connections.get(address)
    if (known !== undefined) return known.peer
    const agent = new Agent({ keepAlive: true, keepAliveMsecs: KEEP_ALIVE_MS, maxSockets: CONNECTIONS })
    const transport = createConnectTransport({ baseUrl: `http://${address}`, httpVersion: '1.1', nodeOptions: { agent } })
    const peer = new RemoteInstance(createClient(wire.CoordinatorService, transport))
    this.#connections.set(address, { agent, peer })
    return peer
  }
}

class RemoteInstance implements CoordinatorPeer {
  readonly #client: Client<typeof wire.CoordinatorService>

  constructor (client: Client<typeof wire.CoordinatorService>) {
    this.#client = client
  }

  async handle (call: CallerCall): Promise<CallerAnswer> {
    return decodeAnswer(await this.#client.handle(create(wire.HandleRequestSchema, {
      action: call.action,
      host: call.host,
      path: call.path,
      key: call.key,
      body: Buffer.from(call.definition, 'utf8'),
      desiredStateVersion: BigInt(call.desiredStateVersion)
    }), { timeoutMs: HANDLE_TIMEOUT_MS }))
  }

  async report ({ instance, address, desiredStateVersion }: InstanceReport): Promise<ReportAnswer> {
    return decodeReportAnswer(await this.#client.report(create(wire.ReportRequestSchema, {
      instance, address, desiredStateVersion: BigInt(desiredStateVersion)
    }), { timeoutMs: REPORT_TIMEOUT_MS }))
  }

  async release (lease: number): Promise<boolean> {
    return (await this.#client.release(create(wire.ReleaseRequestSchema, { lease: BigInt(lease) }), { timeoutMs: RELEASE_TIMEOUT_MS })).released
  }

  async advise ({ step, targets, expectedMs }: AdviceQuestion): Promise<readonly AllowedTarget[]> {
    const answer = await this.#client.advise(create(wire.AdviseRequestSchema, {
      step, targets: [...targets], expectedMilliseconds: expectedMs
    }), { timeoutMs: Math.ceil(expectedMs + ADVICE_SLACK_MS) })
    return answer.allowed
  }
}
