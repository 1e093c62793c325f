package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Telling new homes of the chats held for a home that left. */
class HeldChatsTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");

    private final ServiceView mView = Candidates.view(5);
    private final List<Candidate> mRankedServers = mView.ranking().top(CHAT, 5);
    private final ServiceView mViewAfterDeparture =
            mView.apply(2, List.of(new ViewChange.Leave(mRankedServers.get(0).id())));

    // The caller sees a first token as fast as before. A chat was sent on from its home, which then
    // crashes with its directory. The server that holds the chat tells the next in rank, which is
    // the home from now on, before the chat returns there.
    @Test
    void newHomeIsNotifiedOnceAfterACrash() {
        Map<ChatKey, Candidate> told = new HashMap<>();
        HeldChats held = new HeldChats(mRankedServers.get(3).id(), 100);
        held.onAdmit(CHAT, mRankedServers.get(0));
        held.onLeave("another", mViewAfterDeparture, (home, chat) -> told.put(chat, home));
        assertThat(told).isEmpty();
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> told.put(chat, home));
        assertThat(told).containsOnly(Map.entry(CHAT, mRankedServers.get(1)));
        told.clear();
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> told.put(chat, home));
        assertThat(told).isEmpty();
    }

    @Test
    void holderThatBecomesTheHomeNotifiesNoServer() {
        HeldChats held = new HeldChats(mRankedServers.get(1).id(), 100);
        held.onAdmit(CHAT, mRankedServers.get(0));
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> {
                    throw new AssertionError("told " + home);
                });
    }
}
