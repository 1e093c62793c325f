package org.laurelweir.membership;

import java.util.List;

/**
 * What one control instance tells a peer.
 *
 * @param cursor where the peer stands after taking it
 * @param announcements what changed since the peer's cursor
 * @param sums running work per service beside the sidecars that the instance hears itself
 */
public record PeerUpdate(
        MembershipCursor cursor, List<Announcement> announcements, List<ServiceSum> sums) {}
