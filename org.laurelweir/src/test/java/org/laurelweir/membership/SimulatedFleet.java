package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.laurelweir.lib.BackendRef;

/** Simulated control instances and sidecars; the test decides which messages are delivered. */
final class SimulatedFleet {
    static final String SERVICE = "seilhjerne";

    private static final Duration STEP = Duration.ofMillis(250);

    final List<SharedMembership> mControls = new ArrayList<>();
    final List<Sidecar> mSidecars = new ArrayList<>();
    private final int mControlCount;
    private Instant mNow = Instant.EPOCH;

    SimulatedFleet(int controls, int sidecars, int flapsAllowed) {
        mControlCount = controls;
        for (int i = 0; i < controls; i++) {
            mControls.add(newControl(i, 1, flapsAllowed));
        }
        for (int i = 0; i < sidecars; i++) {
            mSidecars.add(new Sidecar("w" + i));
        }
    }

    private SharedMembership newControl(int number, long incarnation, int flapsAllowed) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < mControlCount; i++) {
            if (i != number) {
                peers.add(controlName(i));
            }
        }
        MembershipConfig config =
                MembershipConfig.builder(controlName(number), incarnation)
                        .flaps(Duration.ofMinutes(10), flapsAllowed)
                        .holds(Duration.ofSeconds(10), Duration.ofMinutes(5), 0.5)
                        .build();
        return new SharedMembership(config, peers, (backend, reason, isOwn) -> {});
    }

    private static String controlName(int control) {
        return "c" + control;
    }

    Instant now() {
        return mNow;
    }

    /** Restarts a control instance with an empty membership. */
    void restartControl(int number, long incarnation) {
        mControls.set(number, newControl(number, incarnation, 1000));
    }

    void advanceTime(Duration duration) {
        Instant end = mNow.plus(duration);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            mControls.forEach(c -> c.tick(mNow));
        }
    }

    /** Delivers the update of one instance to another. */
    void deliverUpdate(int from, int to) {
        if (from != to) {
            MembershipCursor cursor = mControls.get(to).cursorOf(controlName(from));
            mControls
                    .get(to)
                    .merge(mNow, controlName(from), mControls.get(from).updateSince(cursor));
        }
    }

    void exchangeUpdates() {
        for (int from = 0; from < mControlCount; from++) {
            for (int to = 0; to < mControlCount; to++) {
                deliverUpdate(from, to);
            }
        }
    }

    /** Exchanges reports and updates until every dead sidecar has timed out. */
    void settle() {
        for (int i = 0; i < 400; i++) {
            mSidecars.stream().filter(s -> s.mIsAlive).forEach(Sidecar::report);
            exchangeUpdates();
            advanceTime(STEP);
        }
    }

    TreeMap<String, Backend> view(int control) {
        TreeMap<String, Backend> view = new TreeMap<>();
        mControls.get(control).backends().stream()
                .filter(b -> b.state() != Backend.State.LEFT)
                .forEach(b -> view.put(b.ref().id(), b));
        return view;
    }

    /** A sidecar and its session number. */
    final class Sidecar {
        final String mId;
        boolean mIsAlive = true;
        Backend.State mState = Backend.State.SERVING;
        long mIncarnation = 1;
        int mSession = 1;
        int mControl;

        Sidecar(String id) {
            mId = id;
        }

        Backend backend() {
            BackendRef ref = new BackendRef(mId, mIncarnation);
            return new Backend(ref, SERVICE, "bergen", "vestkyst", "", mState, 1, mSession);
        }

        void report() {
            SidecarReport report = new SidecarReport(backend(), 1, 1, 0);
            int minSession = mControls.get(mControl).receiveReport(mNow, report);
            mSession = Math.max(mSession, minSession);
        }

        void moveTo(int control) {
            if (control != mControl) {
                mControl = control;
                mSession++;
            }
        }

        void restart() {
            mIsAlive = true;
            mState = Backend.State.SERVING;
            mIncarnation++;
            mSession = 1;
        }
    }
}
