package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the choice of a redirect's target. */
class RedirectPolicyTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");

    private final ServiceView mView =
            Candidates.view(4).apply(2, List.of(new ViewChange.Drain("worker-3")));
    private final List<Candidate> mRankedServers = mView.ranking().top(CHAT, 3);

    @Test
    void openServerComesBeforeTheNextInRank() {
        String last = mRankedServers.get(2).id();
        assertThat(choose(List.of("gone", "worker-3", last), Set.of()).id()).isEqualTo(last);
    }

    @Test
    void nextInRankIsUsedWhereNoOpenServerIsLeft() {
        String home = mRankedServers.get(0).id();
        assertThat(choose(List.of(home), Set.of(home))).isEqualTo(mRankedServers.get(1));
        assertThat(choose(List.of(), Set.of("worker-0", "worker-1", "worker-2"))).isNull();
    }

    private Candidate choose(List<String> open, Set<String> visited) {
        return RedirectPolicy.choose(CHAT, mView, open, visited);
    }
}
