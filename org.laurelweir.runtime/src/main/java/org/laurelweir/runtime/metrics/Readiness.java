package org.laurelweir.runtime.metrics;

import java.util.Optional;

/**
 * Reports whether a program is ready for work. Called on the metrics server's thread; must not
 * block.
 */
@FunctionalInterface
public interface Readiness {
    /** Returns the reason why the program is not ready, or empty if it is ready. */
    Optional<String> notReadyReason();
}
