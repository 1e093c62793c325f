package org.laurelweir.benchmarks.measure.policy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.laurelweir.benchmarks.measure.fleet.Engine;
import org.laurelweir.benchmarks.measure.fleet.Request;
import org.laurelweir.placement.ChatDirectory;
import org.laurelweir.placement.ChatLocator;
import org.laurelweir.placement.HeldChats;

/** The state of one engine's sidecar in {@link DirectoryScheme}. */
final class SidecarState {
    /**
     * Chats whose location on another server a home remembers. 4.6 M chats over 3,800 homes are
     * 1,210 chats a home.
     */
    private static final int DIRECTORY_CAPACITY = 4096;

    private static final int MAX_LOOKUPS = 8192;

    /**
     * Time after a join, in microseconds, during which the previous homes may still cache chats
     * whose home is now this server.
     */
    private static final long RECENT_JOIN_MICROS = 1_800_000_000L;

    private final Engine mEngine;
    private final ChatDirectory mDirectory = new ChatDirectory(DIRECTORY_CAPACITY);
    private final ChatLocator mLocator;
    private final HeldChats mHeldChats;
    private final Deque<Request> mWaitingRequests = new ArrayDeque<>();
    private List<String> mOpenServers = List.of();
    private long mJoinedAt = -RECENT_JOIN_MICROS;

    SidecarState(Engine engine) {
        mEngine = engine;
        mHeldChats = new HeldChats(engine.id(), DIRECTORY_CAPACITY);
        mLocator = new ChatLocator(engine.id(), mDirectory, MAX_LOOKUPS);
    }

    Engine engine() {
        return mEngine;
    }

    ChatDirectory directory() {
        return mDirectory;
    }

    ChatLocator locator() {
        return mLocator;
    }

    HeldChats heldChats() {
        return mHeldChats;
    }

    Deque<Request> waitingRequests() {
        return mWaitingRequests;
    }

    List<String> openServers() {
        return mOpenServers;
    }

    void setOpenServers(List<String> open) {
        mOpenServers = open;
    }

    void onJoin(long now) {
        mJoinedAt = now;
        mLocator.onMembershipChange();
    }

    boolean isRecentlyJoined(long now) {
        return now - mJoinedAt < RECENT_JOIN_MICROS;
    }
}
