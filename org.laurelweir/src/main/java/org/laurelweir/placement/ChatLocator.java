package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.LongHashSet;

/**
 * Locates a chat's history for a sidecar that receives a request of the chat. Only the chat's home
 * records where the history is. A server that has become a chat's home asks, once, the servers that
 * may know: the previous home if this server joined, or the servers next in rank if the previous
 * home left without handing over its directory.
 */
public final class ChatLocator {
    /**
     * Maximum number of servers next in rank to ask after a home was lost. The load bound redirects
     * a request at most twice.
     */
    static final int MAX_RANKS_ASKED = 2;

    private final String mSelf;
    private final ChatDirectory mDirectory;
    private final int mMaxAsked;
    private final LongHashSet mAskedChats = new LongHashSet();

    /**
     * Creates the locator of one sidecar.
     *
     * @param self the name of its backend server
     * @param directory its directory
     * @param maxAsked maximum number of chats remembered as asked for. Beyond it the locator
     *     forgets them all and may ask a second time
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
        String server = mDirectory.find(query.chat());
        if (server != null && !server.equals(mSelf) && view.candidate(server) != null) {
            return new ChatLocation.Remote(server);
        }
        Candidate home = view.ranking().home(query.chat());
        if (home == null) {
            return localOrUnknown(query);
        }
        if (!home.id().equals(mSelf)) {
            // The router's view differs from this one, or its last server for the chat is out of
            // date.
            return query.cachedLocally() ? ChatLocation.LOCAL : new ChatLocation.Remote(home.id());
        }
        List<Candidate> peers = previousHolders(query, view, home);
        if (peers.isEmpty() || !markAsked(query.chat())) {
            return localOrUnknown(query);
        }
        return new ChatLocation.AskPeers(peers);
    }

    private static ChatLocation localOrUnknown(ChatLocationQuery query) {
        return query.cachedLocally() ? ChatLocation.LOCAL : ChatLocation.UNKNOWN;
    }

    private List<Candidate> previousHolders(
            ChatLocationQuery query, ServiceView view, Candidate home) {
        List<Candidate> peers = new ArrayList<>();
        if (query.recentlyJoined()) {
            peers.addAll(view.ranking().topWithout(query.chat(), mSelf, 1));
        }
        if (!query.cachedLocally() && isHomeDeparted(query.chat(), view, home)) {
            for (Candidate c : view.ranking().topWithout(query.chat(), mSelf, MAX_RANKS_ASKED)) {
                if (!peers.contains(c)) {
                    peers.add(c);
                }
            }
        }
        return peers;
    }

    private static boolean isHomeDeparted(ChatKey chat, ServiceView view, Candidate home) {
        if (view.departed().isEmpty()) {
            return false;
        }
        long own = view.ranking().distance(chat, home);
        return view.departed().stream().anyMatch(d -> view.ranking().distance(chat, d) < own);
    }

    private boolean markAsked(ChatKey chat) {
        if (mAskedChats.size() >= mMaxAsked) {
            mAskedChats.clear();
        }
        return mAskedChats.add(chat.hash());
    }

    /**
     * Forgets which chats were asked for, because a membership change may have moved homes here.
     */
    public void onMembershipChange() {
        mAskedChats.clear();
    }

    /** Returns the number of chats remembered as asked for. */
    public int askedCount() {
        return mAskedChats.size();
    }
}
