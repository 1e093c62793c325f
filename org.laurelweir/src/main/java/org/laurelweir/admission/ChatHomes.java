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
 * Where the chats sit whose home this server is, and which ones sit here. A server that answers a
 * chat whose home is another tells the home, once a second for all of them; a home that leaves
 * hands its directory over. What gets lost on the way costs cached history, never an answer.
 */
final class ChatHomes {
    private static final int DIRECTORY_CAPACITY = 16_384;
    private static final int CACHED_CAPACITY = 16_384;
    private static final int MAX_ASKED = 16_384;
    private static final int ENTRIES_A_MESSAGE = 1_000;
    private static final Duration NOTICE_INTERVAL = Duration.ofSeconds(1);

    /** How long after a join chats of this server's rank may still sit with previous homes. */
    private static final Duration JOINED_LATELY = Duration.ofMinutes(30);

    private final String mSelf;
    private final Members mMembers;
    private final ChatDirectory mDirectory = new ChatDirectory(DIRECTORY_CAPACITY);
    private final CachedChats mCached = new CachedChats(CACHED_CAPACITY);
    private final ChatLocator mLookup;
    private final Map<String, Map<Long, String>> mNotices = new HashMap<>();
    private Instant mNextNotice = Instant.MIN;
    private Instant mJoined = Instant.MAX;

    ChatHomes(String self, Members members) {
        mSelf = self;
        mMembers = members;
        mLookup = new ChatLocator(self, mDirectory, MAX_ASKED);
    }

    /** Sets how many tokens the server caches. */
    void setCacheTokens(long tokens) {
        mCached.setMaxTokens(tokens);
    }

    /** Notes that this server begins to take work, for the first time or again. */
    void joined(Instant now) {
        mJoined = now;
        mLookup.onMembershipChange();
    }

    /** Notes that the membership changed; entries that lead to a server that left go. */
    void membersChanged() {
        for (Candidate c : mMembers.view().departed()) {
            mDirectory.removeServer(c.id());
        }
        mLookup.onMembershipChange();
    }

    /** Returns where a chat's history may be. */
    ChatLocation find(Instant now, AttemptRequest request) {
        boolean joinedLately =
                request.returning()
                        && !mJoined.isAfter(now)
                        && now.isBefore(mJoined.plus(JOINED_LATELY));
        return mLookup.locate(
                new ChatLocationQuery(
                        new ChatKey(request.chat()),
                        mCached.contains(request.chat()),
                        request.redirects() == 0,
                        joinedLately),
                mMembers.view());
    }

    /** Returns how many tokens of a chat are likely cached here. */
    int cachedTokens(long chat) {
        return mCached.tokens(chat);
    }

    /** Notes that this server answered a chat, so that its history sits here now. */
    void answered(AttemptRequest request, Frame.Usage usage) {
        if (request.chat() == 0) {
            return;
        }
        AttemptRequest.Cost cost = request.cost();
        int tokens =
                usage.equals(Frame.Usage.NONE)
                        ? cost.promptTokens() + cost.outputTokens()
                        : usage.promptTokens() + usage.completionTokens();
        mCached.put(request.chat(), tokens);
        ChatKey chat = new ChatKey(request.chat());
        Candidate home = mMembers.view().ranking().home(chat);
        if (home == null || home.id().equals(mSelf)) {
            mDirectory.remove(chat);
            return;
        }
        mNotices.computeIfAbsent(home.id(), h -> new HashMap<>()).put(request.chat(), mSelf);
    }

    /** Notes where another server says that a chat sits. */
    void located(long chat, String server) {
        ChatKey key = new ChatKey(chat);
        if (server.equals(mSelf)) {
            mDirectory.remove(key);
        } else {
            mDirectory.put(key, server);
        }
    }

    /** Answers where chats sit, as far as this server knows. */
    void answer(Step step, SidecarEvent.LocateChatsRequested question) {
        Map<Long, String> known = new HashMap<>();
        for (long chat : question.chats()) {
            String elsewhere = mDirectory.find(new ChatKey(chat));
            if (elsewhere != null) {
                known.put(chat, elsewhere);
            } else if (mCached.contains(chat)) {
                known.put(chat, mSelf);
            }
        }
        step.emit(new SidecarEffect.AnswerLocateChats(question.call(), known));
    }

    /** Tells homes about the chats that sit here, if it is time to. */
    void sendNotices(Step step) {
        if (mNotices.isEmpty() || step.now().isBefore(mNextNotice)) {
            return;
        }
        mNextNotice = step.now().plus(NOTICE_INTERVAL);
        mNotices.forEach((home, chats) -> send(step, home, chats));
        mNotices.clear();
    }

    /** Hands the directory to those that become the chats' homes when this server has left. */
    void handOver(Step step) {
        Map<String, Map<Long, String>> byHome = new HashMap<>();
        mDirectory.forEach(
                (chat, server) -> {
                    List<Candidate> next = mMembers.view().ranking().topWithout(chat, mSelf, 1);
                    if (!next.isEmpty() && !next.get(0).id().equals(server)) {
                        byHome.computeIfAbsent(next.get(0).id(), h -> new HashMap<>())
                                .put(chat.hash(), server);
                    }
                });
        byHome.forEach((home, chats) -> send(step, home, chats));
    }

    private void send(Step step, String home, Map<Long, String> chats) {
        String address = mMembers.address(home);
        if (address == null) {
            return;
        }
        List<Map.Entry<Long, String>> entries = new ArrayList<>(chats.entrySet());
        for (int from = 0; from < entries.size(); from += ENTRIES_A_MESSAGE) {
            int to = Math.min(entries.size(), from + ENTRIES_A_MESSAGE);
            Map<Long, String> part = new HashMap<>();
            entries.subList(from, to).forEach(e -> part.put(e.getKey(), e.getValue()));
            step.emit(new SidecarEffect.HandOverChats(address, part));
        }
    }
}
