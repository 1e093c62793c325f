package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the location of a chat's history as homes join and leave. */
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
        ChatLocator locator = locator(mRankedServers.get(0));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, true, true), mView))
                .isEqualTo(new ChatLocation.AskPeers(List.of(mRankedServers.get(1))));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, true, true), mView))
                .isEqualTo(ChatLocation.UNKNOWN);
    }

    // Guards against the loss of a chat's history when its home crashes. The directory is lost with
    // the home. The next in rank becomes the home and has no entry for a chat that the load bound
    // had redirected. It asks the ranks that a redirect could have reached.
    @Test
    void newHomeAfterACrashAsksTheNextRanks() {
        ServiceView viewAfterCrash =
                mView.apply(2, List.of(new ViewChange.Leave(mRankedServers.get(0).id())));
        ChatLocator locator = locator(mRankedServers.get(1));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, true, false), viewAfterCrash))
                .isEqualTo(new ChatLocation.AskPeers(mRankedServers.subList(2, 4)));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, true, false), viewAfterCrash))
                .isEqualTo(ChatLocation.UNKNOWN);
        assertThat(locator.locate(new ChatLocationQuery(CHAT, true, true, false), viewAfterCrash))
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

    // Guards against two servers that redirect a request to each other. A router with an old view
    // sends a request to a server that is not the home. That server redirects it to the home; a
    // request that was redirected once is not sent back.
    @Test
    void requestFromAStaleRouterIsRedirectedToTheHomeOnce() {
        ChatLocator locator = locator(mRankedServers.get(2));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, true, false), mView))
                .isEqualTo(new ChatLocation.Remote(mRankedServers.get(0).id()));
        assertThat(locator.locate(new ChatLocationQuery(CHAT, false, false, false), mView))
                .isEqualTo(ChatLocation.UNKNOWN);
        assertThat(locator.locate(new ChatLocationQuery(CHAT, true, true, false), mView))
                .isEqualTo(ChatLocation.LOCAL);
    }
}
