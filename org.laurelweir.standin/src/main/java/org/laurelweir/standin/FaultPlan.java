package org.laurelweir.standin;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;

/** The faults that a stand-in has still to show, in the order in which they were asked for. */
public final class FaultPlan {
    private final List<Fault> mFaults = new ArrayList<>();

    /**
     * Adds a fault.
     *
     * @return the fault as planned
     * @throws LaurelweirException with {@code BAD_REQUEST} for an unknown kind or a negative number
     */
    public Fault add(Instant now, Fault.Order order) {
        boolean negative =
                order.count() < 0
                        || order.durationMillis() < 0
                        || order.delayMillis() < 0
                        || order.after() < 0;
        if (order.kind() == null || negative) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "not a fault: " + order);
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

    /** Drops all faults. */
    public void clear() {
        mFaults.clear();
    }

    /** Returns the faults that are still to be shown. */
    public List<Fault> list() {
        return List.copyOf(mFaults);
    }

    /** Returns until when the whole stand-in is held; the past if it is not. */
    public Instant heldUntil() {
        return mFaults.stream()
                .filter(Fault::holdsAll)
                .map(Fault::until)
                .max(Instant::compareTo)
                .orElse(Instant.MIN);
    }

    /** Takes the fault that hits the call that arrives now, if any. */
    public Optional<Fault> take(Instant now) {
        mFaults.removeIf(f -> f.isOver(now));
        for (int i = 0; i < mFaults.size(); i++) {
            Fault f = mFaults.get(i);
            if (!f.holdsAll()) {
                use(i, f);
                return Optional.of(f);
            }
        }
        return Optional.empty();
    }

    private void use(int i, Fault f) {
        if (f.count() == 0) {
            return;
        }
        if (f.count() == 1) {
            mFaults.remove(i);
            return;
        }
        mFaults.set(i, f.hit());
    }

    private static Fault.Kind kind(String name) {
        try {
            return Fault.Kind.valueOf(name.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new LaurelweirException(ResultCode.BAD_REQUEST, "unknown fault: " + name, e);
        }
    }
}
