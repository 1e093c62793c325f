package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The chats whose history a backend server holds although another server is their home; the
 * counterpart of the homes' {@link ChatDirectory}. A home that crashes loses its directory. The
 * servers that hold its chats then notify the chats' new homes. Each server holds few chats of one
 * home, so a crash costs it only one or two messages.
 */
public final class HeldChats {
    private final String mSelf;
    private final ChatDirectory mHomes;

    /**
     * Creates an empty record.
     *
     * @param self the backend server's name
     * @param capacity the maximum number of chats that it remembers
     */
    public HeldChats(String self, int capacity) {
        mSelf = self;
        mHomes = new ChatDirectory(capacity);
    }

    /**
     * Records that a chat was admitted here.
     *
     * @param chat the chat
     * @param home its home in this server's view
     */
    public void onAdmit(ChatKey chat, Candidate home) {
        if (home == null || home.id().equals(mSelf)) {
            mHomes.remove(chat);
        } else {
            mHomes.put(chat, home.id());
        }
    }

    /**
     * Finds the new homes of the chats whose home left.
     *
     * @param left the name of the home that left
     * @param view the view without that home
     * @param announce receives each new home to notify, and the chat
     */
    public void onLeave(String left, ServiceView view, BiConsumer<Candidate, ChatKey> announce) {
        List<ChatKey> chatsOfLeftHome = new ArrayList<>();
        mHomes.forEach(
                (chat, home) -> {
                    if (home.equals(left)) {
                        chatsOfLeftHome.add(chat);
                    }
                });
        for (ChatKey chat : chatsOfLeftHome) {
            Candidate home = view.ranking().home(chat);
            onAdmit(chat, home);
            if (home != null && !home.id().equals(mSelf)) {
                announce.accept(home, chat);
            }
        }
    }
}
