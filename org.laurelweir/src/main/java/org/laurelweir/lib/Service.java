package org.laurelweir.lib;

/**
 * A component of a process that holds resources between its start and its stop, such as threads or
 * sockets. It is unrelated to the services that backend servers belong to.
 */
public interface Service extends AutoCloseable {
    /** Acquires the resources and starts the work. Called at most once. */
    void start();

    /** Completes work that has begun, then releases the resources. Idempotent. */
    void stop();

    @Override
    default void close() {
        stop();
    }
}
