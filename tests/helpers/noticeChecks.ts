import type { GatewayCluster, ReceivedNotice, SentAttempt } from './gatewayCluster.ts';

/** Time after an answer within which requests that were under way may still arrive. */
const UNDER_WAY_MS = 500;

/** Returns the attempts that reached an endpoint after it had told their host that it leaves. */
export function getSendsAfterLeaving(cluster: GatewayCluster): SentAttempt[] {
  const notices = cluster.notices.filter(({ isLeaving }) => isLeaving);
  return cluster.sent.filter((sent) =>
    notices.some((notice) => isTold(cluster, notice, sent) && sent.at > notice.at),
  );
}

/**
 * Returns the most attempts that reached an endpoint from one host within a time for which it had told
 * that host to send nothing.
 */
export function getMostSendsInPause(cluster: GatewayCluster): number {
  const counts = cluster.notices.map((notice) => {
    const until = notice.at + (notice.pauseMs ?? 0);
    return cluster.sent.filter(
      (sent) =>
        isTold(cluster, notice, sent) && sent.at > notice.at + UNDER_WAY_MS && sent.at < until,
    ).length;
  });
  return Math.max(0, ...counts);
}

/** Whether an attempt was sent by the process that got a notice, to the start that gave it. */
function isTold(
  { hostStartedAt }: GatewayCluster,
  { host, endpoint, startedAt, at }: ReceivedNotice,
  sent: SentAttempt,
): boolean {
  const isSameStart = sent.endpoint === endpoint && sent.startedAt === startedAt;
  return isSameStart && sent.host === host && (hostStartedAt.get(host) ?? 0) <= at;
}
