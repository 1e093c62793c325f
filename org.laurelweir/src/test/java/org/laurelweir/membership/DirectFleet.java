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
 * Backend servers without sidecars that start, crash and leave, at addresses that are used again,
 * and the control instances that they announce themselves to in any order.
 */
final class DirectFleet {
    private static final int CONTROLS = 3;
    private static final int ADDRESSES = 3;
    private static final int MAX_LATE = 20;

    private final List<SharedMembership> mViews = new ArrayList<>();
    private final List<DirectAnnouncements> mSessions = new ArrayList<>();
    private final List<Server> mServers = new ArrayList<>();
    private final List<Backend> mLate = new ArrayList<>();
    private final Random mRandom;
    private final boolean mStartsAreTold;
    private Instant mNow = Instant.EPOCH;
    private boolean mHasRestarted;

    /** One backend server, from its start to its end. */
    private static final class Server {
        private final BackendRef mRef;
        private final String mAddress;
        private int mNumber;
        private int mControl;
        private Backend.State mState = Backend.State.SERVING;
        private boolean mIsAlive = true;
        private boolean mIsLeaveAcknowledged;

        Server(BackendRef ref, String address) {
            mRef = ref;
            mAddress = address;
        }

        Backend announcement() {
            mNumber++;
            return new Backend(mRef, "s", "dc", "", mAddress, mState, 1, mNumber);
        }
    }

    DirectFleet(long seed, boolean startsAreTold) {
        mRandom = new Random(seed);
        mStartsAreTold = startsAreTold;
        for (int c = 0; c < CONTROLS; c++) {
            mViews.add(null);
            mSessions.add(null);
            startControl(c, 1);
        }
    }

    /** Lets all instances learn what the others know. */
    void settle() {
        shareAll();
        shareAll();
    }

    void assertWhoLeftServesNowhere() {
        mServers.stream().filter(s -> s.mIsLeaveAcknowledged).forEach(this::assertNowhereServing);
    }

    private void assertNowhereServing(Server s) {
        for (SharedMembership view : mViews) {
            Backend b = view.backend(s.mRef.id());
            boolean serves = b != null && b.state() == Backend.State.SERVING;
            assertThat(serves && b.ref().equals(s.mRef)).as("%s in %s", s.mRef, b).isFalse();
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
        SharedMembership view =
                new SharedMembership(
                        config, peers, (b, reason, own) -> tellAtOnce(control, b, own));
        mViews.set(control, view);
        mSessions.set(control, new DirectAnnouncements(view, "s"::equals));
    }

    /** As a control instance does before it acknowledges that a server leaves. */
    private void tellAtOnce(int control, Backend b, boolean own) {
        if (!own || b.state() == Backend.State.SERVING) {
            return;
        }
        for (int c = 0; c < CONTROLS; c++) {
            if (c != control) {
                mViews.get(c).mergeAnnouncements(mNow, List.of(new Announcement(b, "c" + control)));
            }
        }
    }

    /** Does one thing, chosen at random. */
    void act(int step) {
        int control = mRandom.nextInt(CONTROLS);
        switch (mRandom.nextInt(12)) {
            case 0, 1 -> startServer(step);
            case 2 -> withAlive(s -> s.mIsAlive = false);
            case 3 -> withAlive(s -> drain(s, control));
            case 4 -> withAlive(s -> withdraw(s, control));
            case 5 -> restartControl(control, step + 1);
            case 6 -> deliverLate(control);
            case 7 -> pass();
            case 8 -> shareAll();
            default -> withAlive(s -> announce(s, control));
        }
    }

    private void withAlive(Consumer<Server> action) {
        List<Server> alive = mServers.stream().filter(s -> s.mIsAlive).toList();
        if (!alive.isEmpty()) {
            action.accept(alive.get(mRandom.nextInt(alive.size())));
        }
    }

    private void startServer(int step) {
        String address = "1.2.3." + mRandom.nextInt(ADDRESSES) + ":80";
        boolean free = mServers.stream().noneMatch(s -> s.mIsAlive && s.mAddress.equals(address));
        if (free) {
            BackendRef ref = new BackendRef("w" + step, mStartsAreTold ? 1000 + step : 0);
            mServers.add(new Server(ref, address));
        }
    }

    private void announce(Server s, int control) {
        s.mControl = control;
        Backend b = s.announcement();
        if (mLate.size() < MAX_LATE) {
            mLate.add(b);
        }
        mSessions.get(control).receive(mNow, b);
    }

    private void drain(Server s, int control) {
        if (s.mNumber > 0) {
            s.mState = Backend.State.DRAINING;
            announce(s, control);
            s.mIsLeaveAcknowledged = true;
        }
    }

    private void withdraw(Server s, int control) {
        DirectAnnouncements.Outcome outcome = mSessions.get(control).withdraw(mNow, s.mRef);
        if (outcome != DirectAnnouncements.Outcome.UNKNOWN_SERVER) {
            s.mIsLeaveAcknowledged = true;
            s.mIsAlive = false;
        }
    }

    /** One at a time: what all of them forget at once nobody knows any more. */
    private void restartControl(int control, int incarnation) {
        if (!mHasRestarted) {
            mHasRestarted = true;
            startControl(control, incarnation);
        }
    }

    private void deliverLate(int control) {
        if (!mLate.isEmpty()) {
            mSessions.get(control).receive(mNow, mLate.remove(mRandom.nextInt(mLate.size())));
        }
    }

    /** Lets four seconds pass, in which servers that live announce themselves where they did. */
    private void pass() {
        for (int i = 0; i < 8; i++) {
            mNow = mNow.plusMillis(500);
            mServers.stream()
                    .filter(s -> s.mIsAlive && s.mNumber > 0)
                    .forEach(s -> announce(s, s.mControl));
            mViews.forEach(v -> v.tick(mNow));
        }
    }

    private void shareAll() {
        for (int to = 0; to < CONTROLS; to++) {
            for (int from = 0; from < CONTROLS; from++) {
                if (to != from) {
                    SharedMembership view = mViews.get(to);
                    String name = "c" + from;
                    view.merge(mNow, name, mViews.get(from).updateSince(view.cursorOf(name)));
                }
            }
        }
        mHasRestarted = false;
    }
}
