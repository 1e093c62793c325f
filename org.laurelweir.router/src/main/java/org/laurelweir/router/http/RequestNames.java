package org.laurelweir.router.http;

/** Gives requests the ids that appear in answers, in logs and in {@code explain}. */
@FunctionalInterface
public interface RequestNames {
    /** Returns the id of a caller's request. */
    String nameOf(long caller);
}
