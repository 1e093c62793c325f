package org.laurelweir.admission;

import java.time.Instant;
import java.util.function.Consumer;

/**
 * One step of the reducer.
 *
 * @param now the time of the step
 * @param effects receives the effects of the step
 */
record Step(Instant now, Consumer<? super SidecarEffect> effects) {
    void emit(SidecarEffect effect) {
        effects.accept(effect);
    }
}
