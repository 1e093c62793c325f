package org.laurelweir.routing;

import java.time.Instant;
import java.util.function.Consumer;

/** The time of one event, and the consumer of its effects. */
record Step(Instant now, Consumer<? super RouterEffect> effects) {
    void emit(RouterEffect effect) {
        effects.accept(effect);
    }
}
