package org.laurelweir.runtime.metrics;

import java.util.Optional;

/** Tells whether a program can do its work now. Asked by the server's thread; must not block. */
@FunctionalInterface
public interface Readiness {
    /** Returns why the program is not ready, or nothing if it is. */
    Optional<String> notReadyReason();
}
