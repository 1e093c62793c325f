package org.laurelweir.membership;

import java.util.List;

/**
 * What one control instance tells a peer of what it hears itself.
 *
 * @param delta what changed since the peer's cursor
 * @param sums running work per service
 */
public record PeerShare(MembershipDelta delta, List<ServiceSum> sums) {}
