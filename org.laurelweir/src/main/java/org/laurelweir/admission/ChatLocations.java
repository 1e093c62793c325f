package org.laurelweir.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatDirectory;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ChatLocation;
import org.laurelweir.placement.ChatLocationQuery;
import org.laurelweir.placement.ChatLocator;

/**
 * The locations of the chats whose home is this backend server, and the chats whose history it has
 * cached itself.
 *
 * <p>A backend server that answers a chat with another home notifies the home, in one message a
 * second. A home that drains hands its directory over. A lost notice costs a cache miss, never an
 * answer.
 */
final class ChatLocations {
    private static final int DIRECTORY_CAPACITY = 16_384;
    private static final int MAX_CACHED_CHATS = 16_384;
    private static final int MAX_ASKED_CHATS = 16_384;
    private static final int MAX_ENTRIES_PER_MESSAGE = 1_000;
    private static final Duration NOTICE_INTERVAL = Duration.ofSeconds(1);

    /**
     * How long after this server joins, chats whose home it became may still be cached at their
     * previous home.
     */
    private static final Duration RECENT_JOIN_PERIOD = Duration.ofMinutes(30);

    private final String mSelf;
    private final Members mMembers;
    private final ChatDirectory mDirectory = new ChatDirectory(DIRECTORY_CAPACITY);
    private final CachedChats mCachedChats = new CachedChats(MAX_CACHED_CHATS);
    private final ChatLocator mLocator;
    private final Map<String, Map<Long, String>> mPendingNotices = new HashMap<>();
    private Instant mNextNoticeTime = Instant.MIN;
    private Instant mJoinTime = Instant.MAX;

    ChatLocations(String self, Members members) {
        mSelf = self;
        mMembers = members;
        mLocator = new ChatLocator(self, mDirectory, MAX_ASKED_CHATS);
    }

    /** Sets how many tokens the backend server keeps cached. */
    void setCacheTokens(long tokens) {
        mCachedChats.setMaxTokens(tokens);
    }

    /** Records that this server starts to take work, for the first time or again. */
    void onJoined(Instant now) {
        mJoinTime = now;
        mLocator.onMembershipChange();
    }

    /** Handles a change of the membership: drops the locations that name a departed server. */
    void onMembershipChanged() {
        for (Candidate c : mMembers.view().departed()) {
            mDirectory.removeServer(c.id());
        }
        mLocator.onMembershipChange();
    }

    /** Returns where the chat's history is, or which servers to ask for it. */
    ChatLocation locate(Instant now, AttemptRequest request) {
        boolean recentlyJoined =
                request.returning()
                        && !mJoinTime.isAfter(now)
                        && now.isBefore(mJoinTime.plus(RECENT_JOIN_PERIOD));
        return mLocator.locate(
                new ChatLocationQuery(
                        new ChatKey(request.chat()),
                        mCachedChats.contains(request.chat()),
                        request.redirects() == 0,
                        recentlyJoined),
                mMembers.view());
    }

    /** Returns how many tokens of the chat's history are likely cached at this server. */
    int cachedTokens(long chat) {
        return mCachedChats.tokens(chat);
    }

    /** Records that this server answered a chat and has its history cached now. */
    void onAnswered(AttemptRequest request, Frame.Usage usage) {
        if (request.chat() == 0) {
            return;
        }
        AttemptRequest.Cost cost = request.cost();
        int tokens =
                usage.equals(Frame.Usage.NONE)
                        ? cost.promptTokens() + cost.outputTokens()
                        : usage.promptTokens() + usage.completionTokens();
        mCachedChats.put(request.chat(), tokens);
        ChatKey chat = new ChatKey(request.chat());
        Candidate home = mMembers.view().ranking().home(chat);
        if (home == null || home.id().equals(mSelf)) {
            mDirectory.remove(chat);
            return;
        }
        mPendingNotices.computeIfAbsent(home.id(), h -> new HashMap<>()).put(request.chat(), mSelf);
    }

    /** Records a chat location that another server reported. */
    void setLocation(long chat, String server) {
        ChatKey key = new ChatKey(chat);
        if (server.equals(mSelf)) {
            mDirectory.remove(key);
        } else {
            mDirectory.put(key, server);
        }
    }

    /** Replies with the locations that this server knows of the requested chats. */
    void answerLocateChats(Step step, SidecarEvent.LocateChatsRequested request) {
        Map<Long, String> known = new HashMap<>();
        for (long chat : request.chats()) {
            String elsewhere = mDirectory.find(new ChatKey(chat));
            if (elsewhere != null) {
                known.put(chat, elsewhere);
            } else if (mCachedChats.contains(chat)) {
                known.put(chat, mSelf);
            }
        }
        step.emit(new SidecarEffect.AnswerLocateChats(request.call(), known));
    }

    /** Notifies the homes of chats that this server has answered, if the interval is over. */
    void sendNotices(Step step) {
        if (mPendingNotices.isEmpty() || step.now().isBefore(mNextNoticeTime)) {
            return;
        }
        mNextNoticeTime = step.now().plus(NOTICE_INTERVAL);
        mPendingNotices.forEach((home, chats) -> sendLocations(step, home, chats));
        mPendingNotices.clear();
    }

    /**
     * Sends each entry of the directory to the server that becomes the chat's home after this one.
     * An entry that names that server itself is not sent.
     */
    void handOverDirectory(Step step) {
        Map<String, Map<Long, String>> byHome = new HashMap<>();
        mDirectory.forEach(
                (chat, server) -> {
                    List<Candidate> nextHomes =
                            mMembers.view().ranking().topWithout(chat, mSelf, 1);
                    if (!nextHomes.isEmpty() && !nextHomes.get(0).id().equals(server)) {
                        byHome.computeIfAbsent(nextHomes.get(0).id(), h -> new HashMap<>())
                                .put(chat.hash(), server);
                    }
                });
        byHome.forEach((home, chats) -> sendLocations(step, home, chats));
    }

    private void sendLocations(Step step, String home, Map<Long, String> chats) {
        String address = mMembers.address(home);
        if (address == null) {
            return;
        }
        List<Map.Entry<Long, String>> entries = new ArrayList<>(chats.entrySet());
        for (int from = 0; from < entries.size(); from += MAX_ENTRIES_PER_MESSAGE) {
            int to = Math.min(entries.size(), from + MAX_ENTRIES_PER_MESSAGE);
            Map<Long, String> part = new HashMap<>();
            entries.subList(from, to).forEach(e -> part.put(e.getKey(), e.getValue()));
            step.emit(new SidecarEffect.HandOverChats(address, part));
        }
    }
}
