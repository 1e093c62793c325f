package org.laurelweir.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.membership.Backend;

/** Tests what is remembered of the versions of a service. */
class VersionHistoryTest {
    private static final Instant NOW = Instant.EPOCH;
    private static final Duration WINDOW = Duration.ofSeconds(30);

    private final VersionHistory mHistory = new VersionHistory(Duration.ofMinutes(10));

    private static Backend backend(String id, String version, Backend.State state) {
        BackendRef ref = new BackendRef(id, 0);
        return new Backend(ref, "s", "dc", "", "1.2.3.4:80", state, 6, 1).withVersion(version);
    }

    private void serve(int second, String id, String version) {
        mHistory.onChanged(NOW.plusSeconds(second), backend(id, version, Backend.State.SERVING));
    }

    private void leave(int second, String id, String version) {
        mHistory.onChanged(NOW.plusSeconds(second), backend(id, version, Backend.State.LEFT));
    }

    private List<String> versionsAt(int second) {
        return mHistory.versions(NOW.plusSeconds(second), "s", WINDOW);
    }

    // Guards against a guess right after the last server of a version has left.
    @Test
    void versionIsRememberedAfterItsLastServer() {
        serve(0, "w1", "v1");
        serve(0, "w2", "v2");
        leave(5, "w1", "v1");
        assertThat(versionsAt(35)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(versionsAt(36)).containsExactly("v2");
    }

    // Guards against the same for a server that returns with another version.
    @Test
    void versionOfAServerThatReturnsWithAnotherIsRemembered() {
        serve(0, "w1", "v1");
        serve(5, "w1", "v2");
        assertThat(versionsAt(35)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(versionsAt(36)).containsExactly("v2");
    }

    @Test
    void serverThatDisappearsWithoutADepartureIsPruned() {
        serve(0, "w1", "v1");
        serve(0, "w2", "v2");
        assertThat(mHistory.mixedServiceCount()).isEqualTo(1);
        mHistory.prune(NOW.plusSeconds(5), id -> id.equals("w2"));
        assertThat(mHistory.mixedServiceCount()).isZero();
        assertThat(versionsAt(35)).containsExactlyInAnyOrder("v1", "v2");
        assertThat(versionsAt(36)).containsExactly("v2");
    }

    @Test
    void otherServicesDoNotCount() {
        serve(0, "w1", "v1");
        assertThat(mHistory.versions(NOW, "other", WINDOW)).isEmpty();
    }
}
