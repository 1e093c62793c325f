package org.laurelweir.membership;

import java.util.List;

/**
 * The membership changes that one control instance sends to a peer.
 *
 * @param cursor the peer's cursor after it has applied the update
 * @param announcements the announcements that changed since the peer's cursor
 * @param sums the running work per service over the sidecars that report to the sending instance
 */
public record PeerUpdate(
        MembershipCursor cursor, List<Announcement> announcements, List<ServiceSum> sums) {}
