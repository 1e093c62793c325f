package org.laurelweir.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The chats that sit at a backend server away from their home: the other end of the homes' {@link
 * ChatDirectory}. A home that crashes takes its directory with it; the servers that hold its chats
 * then tell the chats' new homes. Each has few of them, so a crash costs each one a message or two.
 */
public final class HeldChats {
    private final String mSelf;
    private final ChatDirectory mHomes;

    /**
     * Creates an empty record.
     *
     * @param self the backend server's name
     * @param capacity the most chats that it remembers
     */
    public HeldChats(String self, int capacity) {
        mSelf = self;
        mHomes = new ChatDirectory(capacity);
    }

    /**
     * Notes that a chat was admitted here.
     *
     * @param chat the chat
     * @param home its home, as this server's view has it
     */
    public void onAdmit(ChatKey chat, Candidate home) {
        if (home == null || home.id().equals(mSelf)) {
            mHomes.remove(chat);
        } else {
            mHomes.put(chat, home.id());
        }
    }

    /**
     * Names the new homes of the chats whose home left.
     *
     * @param left the home that left
     * @param view the view without it
     * @param announce takes each new home that has to be told, and the chat
     */
    public void onLeave(String left, ServiceView view, BiConsumer<Candidate, ChatKey> announce) {
        List<ChatKey> orphans = new ArrayList<>();
        mHomes.forEach(
                (chat, home) -> {
                    if (home.equals(left)) {
                        orphans.add(chat);
                    }
                });
        for (ChatKey chat : orphans) {
            Candidate home = view.ranking().home(chat);
            onAdmit(chat, home);
            if (home != null && !home.id().equals(mSelf)) {
                announce.accept(home, chat);
            }
        }
    }
}
