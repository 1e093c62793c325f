package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the notification of new homes about chats whose home left. */
class HeldChatsTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");

    private final ServiceView mView = Candidates.view(5);
    private final List<Candidate> mRankedServers = mView.ranking().top(CHAT, 5);
    private final ServiceView mViewAfterDeparture =
            mView.apply(2, List.of(new ViewChange.Leave(mRankedServers.get(0).id())));

    // Guards against a slow first token. A chat is redirected from its home, which then crashes and
    // loses its directory. The server that holds the chat's history notifies the next in rank, the
    // new home, before the chat returns there.
    @Test
    void newHomeIsNotifiedOnceAfterACrash() {
        Map<ChatKey, Candidate> notified = new HashMap<>();
        HeldChats held = new HeldChats(mRankedServers.get(3).id(), 100);
        held.onAdmit(CHAT, mRankedServers.get(0));
        held.onLeave("another", mViewAfterDeparture, (home, chat) -> notified.put(chat, home));
        assertThat(notified).isEmpty();
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> notified.put(chat, home));
        assertThat(notified).containsOnly(Map.entry(CHAT, mRankedServers.get(1)));
        notified.clear();
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> notified.put(chat, home));
        assertThat(notified).isEmpty();
    }

    @Test
    void holderThatBecomesTheHomeNotifiesNoServer() {
        HeldChats held = new HeldChats(mRankedServers.get(1).id(), 100);
        held.onAdmit(CHAT, mRankedServers.get(0));
        held.onLeave(
                mRankedServers.get(0).id(),
                mViewAfterDeparture,
                (home, chat) -> {
                    throw new AssertionError("unexpected notification of " + home);
                });
    }
}
