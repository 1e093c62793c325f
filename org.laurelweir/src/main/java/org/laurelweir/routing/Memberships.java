package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.direct.BackendSource;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;

/** The backend servers that this router knows, as control's deltas tell it. */
final class Memberships implements BackendSource {
    /**
     * How long a backend server stays that a whole view no longer names. A control instance that
     * has just started answers with the few that have announced themselves yet; dropping the rest
     * at once would leave services without backend servers. All announce themselves each second.
     */
    private static final Duration MISSING_GRACE = Duration.ofSeconds(5);

    private final Map<String, Backend> mBackends = new HashMap<>();
    private final Map<String, ServiceView> mViews = new HashMap<>();
    private final Map<String, Instant> mMissingUntil = new HashMap<>();
    private final Departures mDepartures = new Departures();
    private final Consumer<Backend> mOnChange;
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private long mChanges;

    /**
     * Creates an empty view.
     *
     * @param onChange told of each backend server that is new, or in another state than before
     */
    Memberships(Consumer<Backend> onChange) {
        mOnChange = onChange;
    }

    MembershipCursor cursor() {
        return mCursor;
    }

    @Override
    public ServiceView view(String service) {
        return mViews.computeIfAbsent(service, ServiceView::empty);
    }

    @Override
    public Backend backend(String id) {
        return mBackends.get(id);
    }

    /** Returns whether a whole view has arrived. */
    boolean isTold() {
        return !mCursor.equals(MembershipCursor.NONE);
    }

    /** Returns whether a delta tells of anything, so that an idle exchange costs nothing more. */
    static boolean tells(MembershipDelta delta) {
        return delta.full() || !delta.backends().isEmpty();
    }

    void apply(Instant now, MembershipDelta delta) {
        mCursor = delta.cursor();
        Map<String, List<ViewChange>> changes = new HashMap<>();
        for (Backend b : delta.backends()) {
            mMissingUntil.remove(b.ref().id());
            applyOne(now, b, changes);
        }
        if (delta.full()) {
            noteMissing(now, delta.backends());
        }
        applyToViews(changes);
    }

    /** Drops what no view has named for too long, and forgets who left long ago. */
    void onTick(Instant now) {
        mDepartures.forget(now);
        if (mMissingUntil.isEmpty()) {
            return;
        }
        Map<String, List<ViewChange>> changes = new HashMap<>();
        for (String id : new ArrayList<>(mMissingUntil.keySet())) {
            if (!now.isBefore(mMissingUntil.get(id))) {
                mMissingUntil.remove(id);
                dropMissing(now, id, changes);
            }
        }
        applyToViews(changes);
    }

    private void dropMissing(Instant now, String id, Map<String, List<ViewChange>> changes) {
        Backend b = mBackends.get(id);
        remove(id, changes);
        if (b != null && b.state() == Backend.State.DRAINING) {
            mDepartures.add(now, b);
        }
    }

    private void applyOne(Instant now, Backend b, Map<String, List<ViewChange>> changes) {
        String id = b.ref().id();
        Backend known = mBackends.getOrDefault(id, mDepartures.get(id));
        if (known != null && !b.supersedes(known)) {
            return;
        }
        if (known != null && !known.service().equals(b.service())) {
            remove(id, changes);
        }
        if (b.state() == Backend.State.LEFT) {
            remove(id, changes);
            mDepartures.add(now, b);
            return;
        }
        mDepartures.remove(id);
        mBackends.put(id, b);
        if (known == null || known.state() != b.state()) {
            mOnChange.accept(b);
        }
        List<ViewChange> list = changes.computeIfAbsent(b.service(), s -> new ArrayList<>());
        list.add(new ViewChange.Join(new Candidate(b.ref(), b.dataCentre(), b.weight())));
        if (b.state() == Backend.State.DRAINING) {
            list.add(new ViewChange.Drain(id));
        }
    }

    private void remove(String id, Map<String, List<ViewChange>> changes) {
        Backend gone = mBackends.remove(id);
        if (gone != null) {
            mOnChange.accept(gone.withState(Backend.State.LEFT));
            changes.computeIfAbsent(gone.service(), s -> new ArrayList<>())
                    .add(new ViewChange.Leave(id));
        }
    }

    private void noteMissing(Instant now, List<Backend> present) {
        Set<String> missing = new HashSet<>(mBackends.keySet());
        present.forEach(b -> missing.remove(b.ref().id()));
        missing.forEach(id -> mMissingUntil.putIfAbsent(id, now.plus(MISSING_GRACE)));
    }

    private void applyToViews(Map<String, List<ViewChange>> changes) {
        mChanges++;
        changes.forEach((s, list) -> mViews.put(s, view(s).apply(mChanges, list)));
    }
}
