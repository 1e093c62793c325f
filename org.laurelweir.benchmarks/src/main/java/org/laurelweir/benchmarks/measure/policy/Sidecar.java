package org.laurelweir.benchmarks.measure.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.placement.ChatDirectory;
import org.laurelweir.placement.ChatLocator;
import org.laurelweir.placement.HeldChats;

/** The state of the sidecar beside one engine. */
final class Sidecar {
    /** Chats that a home remembers elsewhere; 4.6 M chats over 3,800 homes are 1,210 each. */
    private static final int DIRECTORY_CAPACITY = 4096;

    private static final int MAX_ASKED = 8192;

    /** How long after a join the previous homes may still hold chats of this rank. */
    private static final long JOINED_LATELY = 1_800_000_000L;

    private final Engine mEngine;
    private final ChatDirectory mDirectory = new ChatDirectory(DIRECTORY_CAPACITY);
    private final ChatLocator mLookup;
    private final HeldChats mHeld;
    private final Deque<Request> mWaiting = new ArrayDeque<>();
    private List<String> mOpen = List.of();
    private long mJoinedAt = -JOINED_LATELY;

    Sidecar(Engine engine) {
        mEngine = engine;
        mHeld = new HeldChats(engine.id(), DIRECTORY_CAPACITY);
        mLookup = new ChatLocator(engine.id(), mDirectory, MAX_ASKED);
    }

    Engine engine() {
        return mEngine;
    }

    ChatDirectory directory() {
        return mDirectory;
    }

    ChatLocator lookup() {
        return mLookup;
    }

    HeldChats held() {
        return mHeld;
    }

    Deque<Request> waiting() {
        return mWaiting;
    }

    List<String> open() {
        return mOpen;
    }

    void setOpen(List<String> open) {
        mOpen = open;
    }

    void onJoin(long now) {
        mJoinedAt = now;
        mLookup.onMembershipChange();
    }

    boolean joinedLately(long now) {
        return now - mJoinedAt < JOINED_LATELY;
    }
}
