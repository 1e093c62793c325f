package org.laurelweir.lib;

/** Something that owns resources between a start and a stop. */
public interface Service extends AutoCloseable {
    /** Acquires the resources and begins to work. Called at most once. */
    void start();

    /** Ends the work without cutting anything short and releases the resources. Idempotent. */
    void stop();

    @Override
    default void close() {
        stop();
    }
}
