package org.laurelweir.fleet;

import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;

/** The simulated backend servers of a fleet. */
public interface FleetBackends {
    /**
     * Calls a backend server for a router. The events report the course of the call to the router.
     */
    void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events);

    /** Reports to a router whether a backend server listens at its address. */
    void check(DirectEffect.CheckBackend check, Consumer<DirectEvent> events);

    /** Handles that a router has closed the connection of a call. */
    void cancel(long call, Consumer<DirectEvent> events);
}
