package org.laurelweir.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.laurelweir.direct.BackendSource;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.DrainedDataCentres;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;

/**
 * The backend servers that this router knows, built from control's membership deltas and from what
 * they tell the router themselves.
 */
final class Memberships implements BackendSource {
    /**
     * How long the backend servers of an undrained data centre are taken to be in slow start. An
     * empty server often is, and this covers two announcements and an exchange, after which control
     * has told which are.
     */
    static final Duration UNDRAINED_SLOW_START = Duration.ofSeconds(3);

    private final Map<String, Backend> mBackends = new HashMap<>();
    private final Map<String, ServiceView> mViews = new HashMap<>();
    private final MissingBackends mMissing = new MissingBackends();
    private final DepartedBackends mDeparted = new DepartedBackends();
    private final LeavingBackends mLeaving = new LeavingBackends();
    private final Consumer<Backend> mOnChange;
    private final Map<String, Instant> mUndrainedAt = new HashMap<>();
    private Collection<String> mSlowStartServices = Set.of();
    private DrainedDataCentres mDrained = DrainedDataCentres.NONE;
    private MembershipCursor mCursor = MembershipCursor.NONE;
    private long mViewVersion;

    /**
     * Creates an empty membership.
     *
     * @param onChange receives each backend server that is new or changed its state or version
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
        Backend b = mBackends.get(id);
        boolean isLeaving = b != null && mLeaving.contains(b.ref());
        return isLeaving ? b.withState(Backend.State.DRAINING) : b;
    }

    @Override
    public boolean onLeaving(Instant now, BackendRef ref) {
        Backend b = mBackends.get(ref.id());
        boolean isOutdated = b != null && b.ref().incarnation() > ref.incarnation();
        if (isOutdated || !mLeaving.add(now, ref)) {
            return false;
        }
        if (b != null && b.ref().equals(ref)) {
            Map<String, List<ViewChange>> changes = new HashMap<>();
            changesOf(b, changes).add(new ViewChange.Drain(ref.id()));
            applyToViews(changes);
        }
        return true;
    }

    @Override
    public boolean isInSlowStart(String id, Instant now) {
        Backend b = mBackends.get(id);
        if (b == null) {
            return false;
        }
        return b.slowStart()
                || (mSlowStartServices.contains(b.service()) && isJustUndrained(b, now));
    }

    private boolean isJustUndrained(Backend b, Instant now) {
        Instant undrainedAt = mUndrainedAt.get(b.dataCentre());
        return undrainedAt != null && now.isBefore(undrainedAt.plus(UNDRAINED_SLOW_START));
    }

    /** Returns whether control has sent a full view. */
    boolean hasFullView() {
        return !mCursor.equals(MembershipCursor.NONE);
    }

    /** Returns whether a delta changes anything. An idle exchange then causes no further work. */
    static boolean hasChanges(MembershipDelta delta) {
        return delta.full() || !delta.backends().isEmpty();
    }

    void apply(Instant now, MembershipDelta delta) {
        mCursor = delta.cursor();
        Map<String, List<ViewChange>> changes = new HashMap<>();
        for (Backend b : delta.backends()) {
            if (mMissing.remove(b.ref().id())) {
                resumeWork(b.ref().id(), changes);
            }
            applyOne(now, b, changes);
        }
        if (delta.full()) {
            trackMissing(now, delta.backends());
        }
        applyToViews(changes);
    }

    /**
     * Applies the rules for where requests may go.
     *
     * @return whether the set of drained data centres is newer than the last one
     */
    boolean applyRules(Instant now, PlacementRules rules) {
        mSlowStartServices = rules.slowStartServices();
        return applyDrained(now, rules.drained());
    }

    /**
     * Applies the drained data centres. Their backend servers count as draining: they get no new
     * requests and finish the running ones, and others may still fetch cached prompt parts from
     * them. A set of an earlier position is ignored.
     */
    private boolean applyDrained(Instant now, DrainedDataCentres drained) {
        if (drained.position() <= mDrained.position()) {
            return false;
        }
        DrainedDataCentres before = mDrained;
        mDrained = drained;
        before.names().stream()
                .filter(name -> !drained.contains(name))
                .forEach(name -> mUndrainedAt.put(name, now));
        Map<String, List<ViewChange>> changes = new HashMap<>();
        for (Backend b : mBackends.values()) {
            boolean isDrained = drained.contains(b.dataCentre());
            if (isDrained != before.contains(b.dataCentre())) {
                addToView(b, changes);
            }
        }
        applyToViews(changes);
        return true;
    }

    /**
     * Suspends or removes backend servers that full views lack for too long, and expires
     * departures.
     */
    void onTick(Instant now) {
        mDeparted.expire(now);
        mLeaving.expire(now, mBackends::containsKey);
        if (mMissing.isEmpty()) {
            return;
        }
        Map<String, List<ViewChange>> changes = new HashMap<>();
        suspendOverdue(mMissing.dueForSuspension(now), changes);
        mMissing.takeExpired(now).forEach(id -> removeMissing(now, id, changes));
        applyToViews(changes);
    }

    /**
     * Suspends backend servers that a restarted control instance should have heard from by now. If
     * it lacks half of a service's backend servers or more, control itself is unreachable, and all
     * of them keep receiving requests.
     */
    private void suspendOverdue(List<String> overdue, Map<String, List<ViewChange>> changes) {
        if (overdue.isEmpty()) {
            return;
        }
        Map<String, Integer> missing = missingCountByService();
        for (String id : overdue) {
            Backend b = mBackends.get(id);
            if (b != null && 2 * missing.get(b.service()) < view(b.service()).size()) {
                mMissing.suspend(id);
                mOnChange.accept(b.withState(Backend.State.DRAINING));
                changesOf(b, changes).add(new ViewChange.Drain(id));
            }
        }
    }

    private Map<String, Integer> missingCountByService() {
        Map<String, Integer> missing = new HashMap<>();
        for (String id : mMissing.ids()) {
            Backend b = mBackends.get(id);
            if (b != null) {
                missing.merge(b.service(), 1, Integer::sum);
            }
        }
        return missing;
    }

    /**
     * Resumes a suspended backend server. Its announcement may be the same as before the
     * suspension, and such an announcement has no other effect.
     */
    private void resumeWork(String id, Map<String, List<ViewChange>> changes) {
        Backend b = mBackends.get(id);
        if (b != null && b.state() == Backend.State.SERVING) {
            mOnChange.accept(b);
            addToView(b, changes);
        }
    }

    /** Adds a backend server to its view, or updates it there. */
    private void addToView(Backend b, Map<String, List<ViewChange>> changes) {
        String id = b.ref().id();
        List<ViewChange> serviceChanges = changesOf(b, changes);
        serviceChanges.add(joinOf(b));
        boolean isDraining =
                b.state() == Backend.State.DRAINING
                        || mMissing.isSuspended(id)
                        || mLeaving.contains(b.ref());
        if (isDraining || mDrained.contains(b.dataCentre())) {
            serviceChanges.add(new ViewChange.Drain(id));
        }
    }

    private static ViewChange joinOf(Backend b) {
        return new ViewChange.Join(new Candidate(b.ref(), b.dataCentre(), b.weight()));
    }

    private static List<ViewChange> changesOf(Backend b, Map<String, List<ViewChange>> changes) {
        return changes.computeIfAbsent(b.service(), s -> new ArrayList<>());
    }

    private void removeMissing(Instant now, String id, Map<String, List<ViewChange>> changes) {
        Backend b = mBackends.get(id);
        remove(id, changes);
        if (b != null && b.state() == Backend.State.DRAINING) {
            mDeparted.add(now, b);
        }
    }

    private void applyOne(Instant now, Backend b, Map<String, List<ViewChange>> changes) {
        String id = b.ref().id();
        Backend known = mBackends.getOrDefault(id, mDeparted.get(id));
        if (known != null && !b.supersedes(known)) {
            return;
        }
        if (known != null && !known.service().equals(b.service())) {
            remove(id, changes);
        }
        if (b.state() == Backend.State.LEFT) {
            remove(id, changes);
            mDeparted.add(now, b);
            return;
        }
        mDeparted.remove(id);
        mBackends.put(id, b);
        boolean isLogged =
                known == null || known.state() != b.state() || !known.version().equals(b.version());
        if (isLogged) {
            mOnChange.accept(b);
        }
        addToView(b, changes);
    }

    private void remove(String id, Map<String, List<ViewChange>> changes) {
        Backend removed = mBackends.remove(id);
        if (removed != null) {
            mOnChange.accept(removed.withState(Backend.State.LEFT));
            changesOf(removed, changes).add(new ViewChange.Leave(id));
        }
    }

    private void trackMissing(Instant now, List<Backend> present) {
        Set<String> missing = new HashSet<>(mBackends.keySet());
        present.forEach(b -> missing.remove(b.ref().id()));
        mMissing.add(now, missing);
    }

    private void applyToViews(Map<String, List<ViewChange>> changes) {
        mViewVersion++;
        changes.forEach(
                (s, serviceChanges) -> mViews.put(s, view(s).apply(mViewVersion, serviceChanges)));
    }
}
