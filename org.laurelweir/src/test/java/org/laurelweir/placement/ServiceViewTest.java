package org.laurelweir.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests changes of a view. */
class ServiceViewTest {
    private static final ChatKey CHAT = ChatKey.of("nordhavn", "chat");

    @Property(tries = 50, seed = "31")
    void joinOrderDoesNotChangeTheRanking(@ForAll long seed) {
        List<ViewChange> joins = new ArrayList<>();
        Candidates.of(20).forEach(c -> joins.add(new ViewChange.Join(c)));
        ServiceView joinedAtOnce = ServiceView.empty("s").apply(1, joins);
        Collections.shuffle(joins, new Random(seed));
        ServiceView joinedOneByOne = ServiceView.empty("s");
        for (int i = 0; i < joins.size(); i++) {
            joinedOneByOne = joinedOneByOne.apply(i + 1, joins.subList(i, i + 1));
        }
        assertThat(joinedOneByOne.ranking().top(CHAT, 20))
                .isEqualTo(joinedAtOnce.ranking().top(CHAT, 20));
    }

    @Test
    void lateDeltaIsIgnored() {
        ServiceView view = Candidates.view(3).apply(5, List.of(new ViewChange.Leave("worker-1")));
        assertThat(view.apply(4, List.of(new ViewChange.Leave("worker-2")))).isSameAs(view);
        assertThat(view.size()).isEqualTo(2);
        assertThat(view.departed()).extracting(Candidate::id).containsExactly("worker-1");
    }

    @Test
    void drainingServerIsKnownButNotRanked() {
        ServiceView view = Candidates.view(3).apply(2, List.of(new ViewChange.Drain("worker-0")));
        assertThat(view.candidate("worker-0").draining()).isTrue();
        assertThat(view.ranking().top(CHAT, 3)).hasSize(2).noneMatch(Candidate::draining);
    }

    @Test
    void rejoiningServerIsNoLongerDeparted() {
        ServiceView view =
                Candidates.view(3)
                        .apply(2, List.of(new ViewChange.Leave("worker-0")))
                        .apply(3, List.of(new ViewChange.Join(Candidates.withId("worker-0"))));
        assertThat(view.departed()).isEmpty();
        assertThat(view.size()).isEqualTo(3);
    }
}
