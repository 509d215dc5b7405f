/** Crashes of upstreams and what they say of the requests that ran there. */
import {callPeer} from '@parsleyarch/peer/client';
import {
  clearSuspect,
  getPoisonStatus,
  recordCrash,
  type Crash,
  type PoisonStatus,
} from '@parsleyarch/policy/poison';
import {mergeShard, type CounterShard} from '@parsleyarch/protocol/evidence';
import {createHash} from 'node:crypto';
import {recordDecision} from './decisions.js';
import type {RouterNode} from './node.js';

const SHARE_TIMEOUT_MS = 500;
const FINGERPRINT_CHARS = 24;

/** What nodes share with all others. */
export type SharedNews =
  | {readonly type: 'crash'; readonly crash: Crash}
  | {readonly type: 'survival'; readonly fingerprint: string}
  | {readonly type: 'counters'; readonly share: CounterShard};

/** A hash that is the same for the same work, whoever sends it. */
export function fingerprintOf(...parts: string[]): string {
  const hash = createHash('sha256').update(JSON.stringify(parts));
  return hash.digest('hex').slice(0, FINGERPRINT_CHARS);
}

/** Sends news to every listed peer. */
export async function shareNews(
  node: RouterNode,
  news: SharedNews,
): Promise<void> {
  const message = {
    node: node.name,
    incarnation: node.incarnation,
    body: JSON.stringify(news),
  };
  const calls = [...node.membership.listed.values()].map(vm =>
    callPeer(
      node.peers,
      vm.address,
      'shareEvidence',
      message,
      SHARE_TIMEOUT_MS,
    ),
  );
  await Promise.all(calls);
}

function enterCrash(node: RouterNode, crash: Crash): void {
  node.poison = recordCrash(node.poison, crash, node.clock());
  recordDecision(node, {
    decision: 'poison',
    choice: crash.suspects.length === 1 ? 'convict' : 'suspect',
    candidates: crash.fingerprints,
    reason: `upstream ${crash.upstream} crashed`,
    upstream: crash.upstream,
  });
}

/** Enters a crash that this node saw and tells the others. */
export function reportCrash(node: RouterNode, crash: Crash): void {
  enterCrash(node, crash);
  void shareNews(node, {type: 'crash', crash});
}

/** Enters that a suspect ran to its end, and tells the others. */
export function reportSurvival(node: RouterNode, fingerprint: string): void {
  const next = clearSuspect(node.poison, fingerprint);
  if (next === node.poison) return;
  node.poison = next;
  void shareNews(node, {type: 'survival', fingerprint});
}

/** Judges a request by its fingerprint. */
export function judgeFingerprint(
  node: RouterNode,
  fingerprint: string,
): PoisonStatus {
  return getPoisonStatus(node.poison, fingerprint, node.clock());
}

type NewsHandlers = {
  [T in SharedNews['type']]: (
    node: RouterNode,
    news: Extract<SharedNews, {type: T}>,
  ) => void;
};

const NEWS_HANDLERS: NewsHandlers = {
  crash: (node, {crash}) => enterCrash(node, crash),
  survival: (node, {fingerprint}) => {
    node.poison = clearSuspect(node.poison, fingerprint);
  },
  counters: (node, {share}) => {
    mergeShard(node.evidence, share);
  },
};

/** Takes in news from a peer. */
export function hearNews(node: RouterNode, body: string): void {
  const news = JSON.parse(body) as SharedNews;
  const handle = NEWS_HANDLERS[news.type] as (
    node: RouterNode,
    news: SharedNews,
  ) => void;
  handle(node, news);
}
