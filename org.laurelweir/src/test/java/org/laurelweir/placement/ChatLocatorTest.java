package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Finding a chat's history as homes come and go. */
class ChatLocatorTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");

    private final ServiceView mView = Candidates.view(6);
    private final List<Candidate> mRankedServers = mView.ranking().top(CHAT, 6);
    private final ChatDirectory mDirectory = new ChatDirectory(100);

    private ChatLocator locator(Candidate self) {
        return new ChatLocator(self.id(), mDirectory, 100);
    }

    @Test
    void homeUsesItsDirectory() {
        mDirectory.put(CHAT, mRankedServers.get(3).id());
        assertThat(
                        locator(mRankedServers.get(0))
                                .locate(new ChatLocationQuery(CHAT, false, true, false), mView))
                .isEqualTo(new ChatLocation.Remote(mRankedServers.get(3).id()));
    }

    @Test
    void joinedHomeAsksThePreviousHomeOnce() {
        ChatLocator lookup = locator(mRankedServers.get(0));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, true, true), mView))
                .isEqualTo(new ChatLocation.AskPeers(List.of(mRankedServers.get(1))));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, true, true), mView))
                .isEqualTo(ChatLocation.UNKNOWN);
    }

    // The caller sees only a slower first token. The home crashes; its directory is lost with it.
    // The next in rank becomes the home and has no entry for a chat that the bound had moved on.
    // It asks the ranks that a redirect could have reached, so the history is found again.
    @Test
    void newHomeAfterACrashAsksTheNextRanks() {
        ServiceView after =
                mView.apply(2, List.of(new ViewChange.Leave(mRankedServers.get(0).id())));
        ChatLocator lookup = locator(mRankedServers.get(1));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, true, false), after))
                .isEqualTo(new ChatLocation.AskPeers(mRankedServers.subList(2, 4)));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, true, false), after))
                .isEqualTo(ChatLocation.UNKNOWN);
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, true, true, false), after))
                .isEqualTo(ChatLocation.LOCAL);
    }

    @Test
    void entryOfADepartedServerIsIgnored() {
        mDirectory.put(CHAT, "gone");
        assertThat(
                        locator(mRankedServers.get(0))
                                .locate(new ChatLocationQuery(CHAT, false, true, false), mView))
                .isEqualTo(ChatLocation.UNKNOWN);
    }

    // The caller sees one more hop, never two servers that send its request to and fro. A router
    // with an old view sends to a server that is no longer the home; that one names the home, and
    // a request that was sent on once is not sent back.
    @Test
    void requestFromAStaleRouterIsRedirectedToTheHomeOnce() {
        ChatLocator lookup = locator(mRankedServers.get(2));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, true, false), mView))
                .isEqualTo(new ChatLocation.Remote(mRankedServers.get(0).id()));
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, false, false, false), mView))
                .isEqualTo(ChatLocation.UNKNOWN);
        assertThat(lookup.locate(new ChatLocationQuery(CHAT, true, true, false), mView))
                .isEqualTo(ChatLocation.LOCAL);
    }
}
