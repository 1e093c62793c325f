package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.Decision;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;

/** Tests the log lines about changes of a router's view of the backend servers. */
class MembershipChangeLoggerTest {
    private static final Instant NOW = Instant.EPOCH;

    private final MembershipChangeLogger mChangeLogger = new MembershipChangeLogger();
    private final Memberships mMemberships = new Memberships(mChangeLogger::onChange);

    private static Backend backend(int number, Backend.State state) {
        BackendRef ref = new BackendRef("w" + number, 0);
        return new Backend(ref, "s", "dc", "", "1.2.3.4:80", state, 6, 1);
    }

    private List<Decision> applyAndFlush(boolean full, long version, List<Backend> backends) {
        MembershipCursor cursor = new MembershipCursor("c", 1, version);
        mMemberships.apply(NOW, new MembershipDelta(cursor, full, backends));
        List<Decision> lines = new ArrayList<>();
        Step step = new Step(NOW, e -> lines.add(((RouterEffect.LogDecision) e).decision()));
        mChangeLogger.flush(step, mMemberships.cursor());
        return lines;
    }

    @Test
    void drainIsLoggedWithItsSource() {
        applyAndFlush(true, 1, List.of(backend(1, Backend.State.SERVING)));
        List<Decision> lines = applyAndFlush(false, 7, List.of(backend(1, Backend.State.DRAINING)));
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0).choice()).isEqualTo("DRAINING");
        assertThat(lines.get(0).candidates()).containsExactly("w1");
        assertThat(lines.get(0).reason()).isEqualTo("1 changed, told by c at version 7");
    }

    // Guards against a rollout of which the log does not tell which server has which version.
    @Test
    void versionsAreLoggedSeparately() {
        Backend first = backend(1, Backend.State.SERVING).withVersion("v1");
        Backend second = backend(2, Backend.State.SERVING).withVersion("v2");
        List<Decision> lines = applyAndFlush(true, 1, List.of(second, first));
        assertThat(lines).extracting(Decision::version).containsExactly("v1", "v2");
        assertThat(lines.get(1).candidates()).containsExactly("w2");
    }

    // Guards against a server that returns with another version, of which the log tells nothing.
    @Test
    void changedVersionIsLogged() {
        applyAndFlush(true, 1, List.of(backend(1, Backend.State.SERVING).withVersion("v1")));
        Backend restarted =
                backend(1, Backend.State.SERVING)
                        .withRef(new BackendRef("w1", 1))
                        .withVersion("v2");
        List<Decision> lines = applyAndFlush(false, 2, List.of(restarted));
        assertThat(lines).extracting(Decision::version).containsExactly("v2");
    }

    @Test
    void fullViewIsLoggedInOneLine() {
        List<Backend> all = new ArrayList<>();
        for (int i = 0; i < 1000; i++) {
            all.add(backend(i, Backend.State.SERVING));
        }
        List<Decision> lines = applyAndFlush(true, 1, all);
        assertThat(lines).hasSize(1);
        assertThat(lines.get(0).candidates()).hasSizeLessThan(10);
        assertThat(lines.get(0).reason()).startsWith("1000 changed");
    }

    @Test
    void unchangedViewIsNotLogged() {
        applyAndFlush(true, 1, List.of(backend(1, Backend.State.SERVING)));
        assertThat(applyAndFlush(true, 2, List.of(backend(1, Backend.State.SERVING)))).isEmpty();
    }
}
