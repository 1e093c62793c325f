package org.laurelweir.membership;

import java.util.List;

/**
 * The changes that bring a reader's view up to date.
 *
 * @param cursor the reader's cursor after it has applied the delta
 * @param full whether the delta replaces the reader's whole view
 * @param backends the changed backend servers, or all of them if {@code full}
 */
public record MembershipDelta(MembershipCursor cursor, boolean full, List<Backend> backends) {}
