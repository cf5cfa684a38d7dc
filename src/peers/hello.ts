import { z } from 'zod';
import { Name } from '../configuration/types.ts';
import { MIN_PROTOCOL_VERSION, PROTOCOL_VERSION } from '../membership/constants.ts';

/** Handshake message: the first frame in each direction of a connection. */
export const Hello = z.object({
  host: Name,
  incarnation: z.int().min(0),
  zone: Name,
  /** `host:port` of the sender's listener. */
  address: z.string(),
  /** Newest protocol version that the sender supports. */
  protocol: z.int().min(1),
  /** Oldest protocol version that the sender supports. */
  minProtocol: z.int().min(1),
});
export type Hello = z.infer<typeof Hello>;

/** Returns the newest protocol version that both hosts support, or undefined when there is none. */
export function getSharedProtocolVersion(
  hello: Hello,
  own = { protocol: PROTOCOL_VERSION, minProtocol: MIN_PROTOCOL_VERSION },
): number | undefined {
  const shared = Math.min(hello.protocol, own.protocol);
  return shared < Math.max(hello.minProtocol, own.minProtocol) ? undefined : shared;
}
