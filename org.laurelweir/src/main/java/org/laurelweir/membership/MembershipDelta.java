package org.laurelweir.membership;

import java.util.List;

/**
 * What a reader's view lacks.
 *
 * @param cursor where the reader stands after applying it
 * @param full whether the backend servers are the whole view instead of changes
 * @param backends those that changed
 */
public record MembershipDelta(MembershipCursor cursor, boolean full, List<Backend> backends) {}
