package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;

/**
 * What a sidecar does to find a chat's history when a request reaches it, by the rank that it holds
 * for the chat. Only the home knows where a chat sits; a server that became a chat's home asks,
 * once, those that may know: the previous home if this server joined, the servers next in rank if
 * the previous home left without handing over.
 */
public final class ChatLocator {
    /** How many ranks after a lost home are asked; a bound redirects at most twice. */
    static final int MAX_RANKS_ASKED = 2;

    private final String mSelf;
    private final ChatDirectory mDirectory;
    private final int mMaxAsked;
    private final LongHashSet mAskedChats = new LongHashSet();

    /**
     * Creates the look-up of one sidecar.
     *
     * @param self its backend server's name
     * @param directory its directory
     * @param maxAsked how many chats it remembers to have asked for; over that it forgets them all
     *     and may ask a second time
     */
    public ChatLocator(String self, ChatDirectory directory, int maxAsked) {
        mSelf = self;
        mDirectory = directory;
        mMaxAsked = maxAsked;
    }

    /**
     * Returns where a chat's history may be.
     *
     * @param query the request
     * @param view the sidecar's view of its service
     */
    public ChatLocation locate(ChatLocationQuery query, ServiceView view) {
        if (!query.fromRouter()) {
            return localOrUnknown(query);
        }
        String elsewhere = mDirectory.find(query.chat());
        if (elsewhere != null && !elsewhere.equals(mSelf) && view.candidate(elsewhere) != null) {
            return new ChatLocation.Remote(elsewhere);
        }
        Candidate home = view.ranking().home(query.chat());
        if (home == null) {
            return localOrUnknown(query);
        }
        if (!home.id().equals(mSelf)) {
            // The router's view is older or newer than this one, or its memory of the chat is old.
            return query.cachedLocally() ? ChatLocation.LOCAL : new ChatLocation.Remote(home.id());
        }
        List<Candidate> asked = previousHolders(query, view, home);
        if (asked.isEmpty() || !markAsked(query.chat())) {
            return localOrUnknown(query);
        }
        return new ChatLocation.AskPeers(asked);
    }

    private static ChatLocation localOrUnknown(ChatLocationQuery query) {
        return query.cachedLocally() ? ChatLocation.LOCAL : ChatLocation.UNKNOWN;
    }

    private List<Candidate> previousHolders(
            ChatLocationQuery query, ServiceView view, Candidate home) {
        List<Candidate> asked = new ArrayList<>();
        if (query.recentlyJoined()) {
            asked.addAll(view.ranking().topWithout(query.chat(), mSelf, 1));
        }
        if (!query.cachedLocally() && isHomeDeparted(query.chat(), view, home)) {
            for (Candidate c : view.ranking().topWithout(query.chat(), mSelf, MAX_RANKS_ASKED)) {
                if (!asked.contains(c)) {
                    asked.add(c);
                }
            }
        }
        return asked;
    }

    private static boolean isHomeDeparted(ChatKey chat, ServiceView view, Candidate home) {
        if (view.departed().isEmpty()) {
            return false;
        }
        long own = Ranking.distance(chat, home);
        return view.departed().stream().anyMatch(d -> Ranking.distance(chat, d) < own);
    }

    private boolean markAsked(ChatKey chat) {
        if (mAskedChats.size() >= mMaxAsked) {
            mAskedChats.clear();
        }
        return mAskedChats.add(chat.hash());
    }

    /** Forgets what was asked, after a membership change that may have moved homes here. */
    public void onMembershipChange() {
        mAskedChats.clear();
    }

    /** Returns how many chats it remembers to have asked for. */
    public int askedCount() {
        return mAskedChats.size();
    }
}
