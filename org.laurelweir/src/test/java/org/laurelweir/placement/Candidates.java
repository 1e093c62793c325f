package org.laurelweir.placement;

import java.util.List;
import java.util.stream.IntStream;
import org.laurelweir.lib.BackendRef;

/** Creates backend servers and views for tests. */
final class Candidates {
    private Candidates() {}

    static Candidate withId(String id) {
        return new Candidate(new BackendRef(id, 1), "bergen", 1);
    }

    static List<Candidate> of(int n) {
        return IntStream.range(0, n).mapToObj(i -> withId("worker-" + i)).toList();
    }

    static ServiceView view(int n) {
        List<ViewChange> joins =
                of(n).stream().<ViewChange>map(c -> new ViewChange.Join(c)).toList();
        return ServiceView.empty("seilhjerne").apply(1, joins);
    }
}
