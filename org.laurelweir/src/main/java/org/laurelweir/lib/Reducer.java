package org.laurelweir.lib;

import java.time.Instant;
import java.util.function.Consumer;

/**
 * The decision logic of a program. One thread passes it one event at a time; the reducer updates
 * its state and emits effects as data, which the program carries out.
 *
 * <p>A reducer reads no clock, network, file or random source. The time comes with each event and a
 * random seed at construction, so the same events lead to the same effects.
 *
 * @param <E> the events, a sealed interface of records
 * @param <F> the effects, a sealed interface of records
 */
@FunctionalInterface
public interface Reducer<E, F> {
    /**
     * Handles one event.
     *
     * @param now the time at which the program received the event
     * @param event the event
     * @param effects receives the effects to carry out, in order
     */
    void step(Instant now, E event, Consumer<? super F> effects);
}
