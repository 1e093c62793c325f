package org.laurelweir.router.http;

/** Gives requests the names that answers, logs and {@code explain} show. */
@FunctionalInterface
public interface RequestNames {
    /** Returns the name of a caller's request. */
    String nameOf(long caller);
}
