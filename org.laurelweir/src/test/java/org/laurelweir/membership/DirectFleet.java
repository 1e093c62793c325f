package org.laurelweir.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.laurelweir.lib.BackendRef;

/**
 * A simulated fleet: backend servers without sidecars that start, crash and leave at reused
 * addresses, and the control instances that receive their announcements in random order.
 */
final class DirectFleet {
    private static final int CONTROLS = 3;
    private static final int ADDRESSES = 3;
    private static final int MAX_DELAYED = 20;

    private final List<SharedMembership> mMemberships = new ArrayList<>();
    private final List<DirectAnnouncements> mDirectAnnouncements = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final List<Backend> mDelayedAnnouncements = new ArrayList<>();
    private final Random mRandom;
    private final boolean mHasStartTimes;
    private Instant mNow = Instant.EPOCH;
    private boolean mHasRestarted;

    /** One run of a backend server. */
    private static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private int mLastNumber;
        private int mControl;
        private Backend.State mState = Backend.State.SERVING;
        private boolean mIsAlive = true;
        private boolean mIsDepartureAcknowledged;

        Server(BackendRef ref, String address) {
            mRef = ref;
            mAddress = address;
        }

        Backend announcement() {
            mLastNumber++;
            return new Backend(mRef, "s", "dc", "", mAddress, mState, 1, mLastNumber);
        }
    }

    DirectFleet(long seed, boolean hasStartTimes) {
        mRandom = new Random(seed);
        mHasStartTimes = hasStartTimes;
        for (int c = 0; c < CONTROLS; c++) {
            mMemberships.add(null);
            mDirectAnnouncements.add(null);
            startControl(c, 1);
        }
    }

    /** Exchanges all changes between all instances. */
    void settle() {
        exchangeUpdates();
        exchangeUpdates();
    }

    void assertAcknowledgedDeparturesAreApplied() {
        mServers.stream().filter(s -> s.mIsDepartureAcknowledged).forEach(this::assertNotServing);
    }

    private void assertNotServing(Server s) {
        for (SharedMembership membership : mMemberships) {
            Backend b = membership.backend(s.mRef.id());
            boolean isServing = b != null && b.state() == Backend.State.SERVING;
            assertThat(isServing && b.ref().equals(s.mRef)).as("%s in %s", s.mRef, b).isFalse();
        }
    }

    private void startControl(int control, int incarnation) {
        String name = "c" + control;
        MembershipConfig config =
                MembershipConfig.builder(name, incarnation)
                        .departureTimes(Duration.ofSeconds(3), Duration.ofMinutes(10))
                        .build();
        List<String> peers = new ArrayList<>(List.of("c0", "c1", "c2"));
        peers.remove(name);
        SharedMembership membership =
                new SharedMembership(
                        config, peers, (b, reason, isOwn) -> sendToPeers(control, b, isOwn));
        mMemberships.set(control, membership);
        mDirectAnnouncements.set(control, new DirectAnnouncements(membership, "s"::equals));
    }

    /** Sends a departure to all peers, as a control instance does before it acknowledges it. */
    private void sendToPeers(int control, Backend b, boolean isOwn) {
        if (!isOwn || b.state() == Backend.State.SERVING) {
            return;
        }
        for (int c = 0; c < CONTROLS; c++) {
            if (c != control) {
                mMemberships
                        .get(c)
                        .mergeAnnouncements(mNow, List.of(new Announcement(b, "c" + control)));
            }
        }
    }

    /** Performs one random step. */
    void performRandomStep(int step) {
        int control = mRandom.nextInt(CONTROLS);
        switch (mRandom.nextInt(12)) {
            case 0, 1 -> startServer(step);
            case 2 -> runOnRandomServer(s -> s.mIsAlive = false);
            case 3 -> runOnRandomServer(s -> drain(s, control));
            case 4 -> runOnRandomServer(s -> withdraw(s, control));
            case 5 -> restartControl(control, step + 1);
            case 6 -> deliverDelayed(control);
            case 7 -> advanceTime();
            case 8 -> exchangeUpdates();
            default -> runOnRandomServer(s -> announce(s, control));
        }
    }

    private void runOnRandomServer(Consumer<Server> action) {
        List<Server> alive = mServers.stream().filter(s -> s.mIsAlive).toList();
        if (!alive.isEmpty()) {
            action.accept(alive.get(mRandom.nextInt(alive.size())));
        }
    }

    private void startServer(int step) {
        String address = "1.2.3." + mRandom.nextInt(ADDRESSES) + ":80";
        boolean isFree = mServers.stream().noneMatch(s -> s.mIsAlive && s.mAddress.equals(address));
        if (isFree) {
            BackendRef ref = new BackendRef("w" + step, mHasStartTimes ? 1000 + step : 0);
            mServers.add(new Server(ref, address));
        }
    }

    private void announce(Server s, int control) {
        s.mControl = control;
        Backend b = s.announcement();
        if (mDelayedAnnouncements.size() < MAX_DELAYED) {
            mDelayedAnnouncements.add(b);
        }
        mDirectAnnouncements.get(control).receive(mNow, b);
    }

    private void drain(Server s, int control) {
        if (s.mLastNumber > 0) {
            s.mState = Backend.State.DRAINING;
            announce(s, control);
            s.mIsDepartureAcknowledged = true;
        }
    }

    private void withdraw(Server s, int control) {
        DirectAnnouncements.Outcome outcome =
                mDirectAnnouncements.get(control).withdraw(mNow, s.mRef);
        if (outcome != DirectAnnouncements.Outcome.UNKNOWN_SERVER) {
            s.mIsDepartureAcknowledged = true;
            s.mIsAlive = false;
        }
    }

    /**
     * Restarts a control instance, at most one between two exchanges of all instances: changes that
     * all instances lose at once can't be recovered.
     */
    private void restartControl(int control, int incarnation) {
        if (!mHasRestarted) {
            mHasRestarted = true;
            startControl(control, incarnation);
        }
    }

    private void deliverDelayed(int control) {
        if (!mDelayedAnnouncements.isEmpty()) {
            mDirectAnnouncements
                    .get(control)
                    .receive(
                            mNow,
                            mDelayedAnnouncements.remove(
                                    mRandom.nextInt(mDelayedAnnouncements.size())));
        }
    }

    /**
     * Advances the time by four seconds. Each live server continues to send announcements to the
     * instance to which it sent its last one.
     */
    private void advanceTime() {
        for (int i = 0; i < 8; i++) {
            mNow = mNow.plusMillis(500);
            mServers.stream()
                    .filter(s -> s.mIsAlive && s.mLastNumber > 0)
                    .forEach(s -> announce(s, s.mControl));
            mMemberships.forEach(v -> v.tick(mNow));
        }
    }

    private void exchangeUpdates() {
        for (int to = 0; to < CONTROLS; to++) {
            for (int from = 0; from < CONTROLS; from++) {
                if (to != from) {
                    SharedMembership membership = mMemberships.get(to);
                    String name = "c" + from;
                    membership.merge(
                            mNow,
                            name,
                            mMemberships.get(from).updateSince(membership.cursorOf(name)));
                }
            }
        }
        mHasRestarted = false;
    }
}
