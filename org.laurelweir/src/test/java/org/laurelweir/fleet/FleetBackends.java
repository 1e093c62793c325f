package org.laurelweir.fleet;

import java.util.function.Consumer;
import org.laurelweir.direct.DirectEffect;
import org.laurelweir.direct.DirectEvent;

/** The backend servers of a fleet in virtual time, as its routers reach them. */
public interface FleetBackends {
    /** A router calls a backend server; the events are what the router sees of it. */
    void call(DirectEffect.BeginCall call, Consumer<DirectEvent> events);

    /** A router closed its connection. */
    void cancel(long call, Consumer<DirectEvent> events);
}
