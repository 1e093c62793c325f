package org.laurelweir.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/**
 * The injected faults that have not been applied in full, in the order in which they were added.
 */
public final class FaultPlan {
    private final List<Fault> mFaults = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @return the added fault
     * @throws LaurelweirException with {@code BAD_REQUEST} if the kind is unknown or a number is
     *     negative
     */
    public Fault add(Instant now, Fault.Order order) {
        boolean negative =
                order.count() < 0
                        || order.durationMillis() < 0
                        || order.delayMillis() < 0
                        || order.after() < 0;
        if (order.kind() == null || negative) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST,
                    "not a valid fault, which has a kind and no negative number: " + order);
        }
        boolean timed = order.durationMillis() > 0;
        Fault f =
                new Fault(
                        kind(order.kind()),
                        order.count() == 0 && !timed ? 1 : order.count(),
                        timed ? now.plusMillis(order.durationMillis()) : null,
                        Duration.ofMillis(order.delayMillis()),
                        order.after());
        mFaults.add(f);
        return f;
    }

    /** Removes all faults. */
    public void clear() {
        mFaults.clear();
    }

    /** Returns the faults that have not been applied in full. */
    public List<Fault> list() {
        return List.copyOf(mFaults);
    }

    /** Returns until when every call is held; {@link Instant#MIN} if no fault holds them. */
    public Instant heldUntil() {
        return mFaults.stream()
                .filter(Fault::holdsAllCalls)
                .map(Fault::until)
                .max(Instant::compareTo)
                .orElse(Instant.MIN);
    }

    /**
     * Returns the fault that applies to the call that arrives now, if any, and reduces its count by
     * one.
     */
    public Optional<Fault> take(Instant now) {
        mFaults.removeIf(f -> f.isOver(now));
        for (int i = 0; i < mFaults.size(); i++) {
            Fault f = mFaults.get(i);
            if (!f.holdsAllCalls()) {
                consume(i, f);
                return Optional.of(f);
            }
        }
        return Optional.empty();
    }

    private void consume(int index, Fault f) {
        if (f.count() == 0) {
            return;
        }
        if (f.count() == 1) {
            mFaults.remove(index);
            return;
        }
        mFaults.set(index, f.afterHit());
    }

    private static Fault.Kind kind(String name) {
        try {
            return Fault.Kind.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new LaurelweirException(
                    ResultCode.BAD_REQUEST, "unknown kind of fault: " + name, e);
        }
    }
}
