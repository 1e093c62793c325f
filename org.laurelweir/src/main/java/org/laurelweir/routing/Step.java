package org.laurelweir.routing;

import java.time.Instant;
import java.util.function.Consumer;

/** One event's time, and where its effects go. */
record Step(Instant now, Consumer<? super RouterEffect> effects) {
    void emit(RouterEffect effect) {
        effects.accept(effect);
    }
}
