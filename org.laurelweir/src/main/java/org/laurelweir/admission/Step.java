package org.laurelweir.admission;

import java.time.Instant;
import java.util.function.Consumer;

/**
 * One step of the reducer.
 *
 * @param now its time
 * @param effects takes what it wants done
 */
record Step(Instant now, Consumer<? super SidecarEffect> effects) {
    void emit(SidecarEffect effect) {
        effects.accept(effect);
    }
}
