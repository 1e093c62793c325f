package org.laurelweir.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.laurelweir.lib.BackendRef;

/** Some control instances and sidecars whose every message is delivered, or not, by the test. */
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
                peers.add(name(i));
            }
        }
        MembershipConfig config =
                MembershipConfig.builder(name(number), incarnation)
                        .flaps(Duration.ofMinutes(10), flapsAllowed)
                        .holds(Duration.ofSeconds(10), Duration.ofMinutes(5), 0.5)
                        .build();
        return new SharedMembership(config, peers, (backend, reason, own) -> {});
    }

    private static String name(int control) {
        return "c" + control;
    }

    Instant now() {
        return mNow;
    }

    /** Replaces an instance by a new run of it, which knows nothing. */
    void restartControl(int number, long incarnation) {
        mControls.set(number, newControl(number, incarnation, 1000));
    }

    void pass(Duration time) {
        Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(STEP);
            mControls.forEach(c -> c.tick(mNow));
        }
    }

    /** Lets one instance pull from another what that one hears. */
    void share(int from, int to) {
        if (from != to) {
            MembershipCursor cursor = mControls.get(to).cursorOf(name(from));
            mControls.get(to).merge(mNow, name(from), mControls.get(from).updateSince(cursor));
        }
    }

    void shareAll() {
        for (int from = 0; from < mControlCount; from++) {
            for (int to = 0; to < mControlCount; to++) {
                share(from, to);
            }
        }
    }

    /** Lets all exchange for long enough that what has gone is missed. */
    void settle() {
        for (int i = 0; i < 400; i++) {
            mSidecars.stream().filter(s -> s.mAlive).forEach(Sidecar::report);
            shareAll();
            pass(STEP);
        }
    }

    TreeMap<String, Backend> view(int control) {
        TreeMap<String, Backend> view = new TreeMap<>();
        mControls.get(control).backends().stream()
                .filter(b -> b.state() != Backend.State.LEFT)
                .forEach(b -> view.put(b.ref().id(), b));
        return view;
    }

    /** One sidecar with the client that counts its sessions. */
    final class Sidecar {
        final String mId;
        boolean mAlive = true;
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
            int least = mControls.get(mControl).receiveReport(mNow, report);
            mSession = Math.max(mSession, least);
        }

        void moveTo(int control) {
            if (control != mControl) {
                mControl = control;
                mSession++;
            }
        }

        void restart() {
            mAlive = true;
            mState = Backend.State.SERVING;
            mIncarnation++;
            mSession = 1;
        }
    }
}
