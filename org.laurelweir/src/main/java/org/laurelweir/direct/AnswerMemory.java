package org.laurelweir.direct;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/** Keeps the answers that a router holds within its limits. */
final class AnswerMemory {
    /** Smaller answers are not counted; all requests of a router together hold few of them. */
    private static final long MIN_COUNTED_BYTES = 64 << 10;

    private final AnswerLimits mLimits;

    /** Requests whose answers may hold more than {@link #MIN_COUNTED_BYTES}. */
    private final Set<ActiveRequest> mLarge = new HashSet<>();

    AnswerMemory(AnswerLimits limits) {
        mLimits = limits;
    }

    /** Why the call of a request has to be ended. */
    record Excess(ActiveRequest request, String message) {}

    /** Checks the limits after a request's answer has grown; returns the call to end, if any. */
    Optional<Excess> onGrown(ActiveRequest r) {
        long held = r.heldBytes();
        long limit = r.isStreaming() ? mLimits.eventBytes() : mLimits.answerBytes();
        if (held > limit) {
            String what = r.isStreaming() ? "an event" : "the answer";
            return Optional.of(new Excess(r, what + " exceeds " + limit + " bytes"));
        }
        if (held < MIN_COUNTED_BYTES) {
            return Optional.empty();
        }
        mLarge.add(r);
        mLarge.removeIf(l -> l.heldBytes() < MIN_COUNTED_BYTES);
        long total = mLarge.stream().mapToLong(ActiveRequest::heldBytes).sum();
        return total <= mLimits.totalBytes() ? Optional.empty() : largest();
    }

    private Optional<Excess> largest() {
        String message = "all answers together exceed " + mLimits.totalBytes() + " bytes";
        return mLarge.stream()
                .max(Comparator.comparingLong(ActiveRequest::heldBytes))
                .map(r -> new Excess(r, message));
    }

    /** Forgets a request that has ended. */
    void onEnded(ActiveRequest r) {
        mLarge.remove(r);
    }
}
