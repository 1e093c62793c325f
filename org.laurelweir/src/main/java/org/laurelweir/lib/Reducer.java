package org.laurelweir.lib;

import java.time.Instant;
import java.util.function.Consumer;

/**
 * Decides what a program does. One thread feeds it one event at a time; it changes its own state
 * and emits effects as data. It reads no clock, no network, no file and no random source: time
 * comes with the event and a seed comes at construction, so the same events give the same effects.
 *
 * @param <E> the events, a sealed interface of records
 * @param <F> the effects, a sealed interface of records
 */
@FunctionalInterface
public interface Reducer<E, F> {
    /**
     * Takes one event.
     *
     * @param now the time at which the shell took the event
     * @param event what happened
     * @param effects receives what the shell has to do, in order
     */
    void step(Instant now, E event, Consumer<? super F> effects);
}
