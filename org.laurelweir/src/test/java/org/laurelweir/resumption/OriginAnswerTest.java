package org.laurelweir.resumption;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests what the answers of several control instances prove about a stream. */
class OriginAnswerTest {
    private static final Duration WINDOW = Duration.ofSeconds(30);
    private static final Duration LONG = Duration.ofMinutes(5);
    private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
    private static final StreamOrigin V2 = new StreamOrigin("s", "v2");
    private static final List<String> ALL = List.of("c1", "c2", "c3");

    private final Map<String, OriginReport> mReports = new HashMap<>();

    private void report(String control, Duration knownFor, String... versions) {
        mReports.put(control, new OriginReport(Optional.empty(), List.of(versions), knownFor, ALL));
    }

    private void reportOrigin(String control, StreamOrigin origin) {
        mReports.put(control, new OriginReport(Optional.of(origin), List.of(), LONG, ALL));
    }

    private OriginAnswer answer() {
        return OriginAnswer.of(ALL.size(), mReports, WINDOW);
    }

    private Optional<String> soleVersion() {
        return answer().soleVersion();
    }

    @Test
    void oneRecordIsEnough() {
        reportOrigin("c2", V1);
        assertThat(answer().origin()).contains(V1);
    }

    // Guards against a guess between two records, one of which is wrong.
    @Test
    void differentRecordsTellNothing() {
        reportOrigin("c1", V1);
        reportOrigin("c2", V2);
        assertThat(answer().origin()).isEmpty();
    }

    @Test
    void versionIsSoleIfAllInstancesKnowNoOther() {
        ALL.forEach(c -> report(c, LONG, "v1"));
        assertThat(soleVersion()).contains("v1");
    }

    // Guards against a guess while the instance that told a router of another version is silent.
    @Test
    void versionIsNotSoleIfAnInstanceDoesNotAnswer() {
        report("c1", LONG, "v1");
        report("c2", LONG, "v1");
        assertThat(soleVersion()).isEmpty();
    }

    // Guards against a guess after that instance has restarted.
    @Test
    void versionIsNotSoleIfAnInstanceRestartedSince() {
        report("c1", LONG, "v1");
        report("c2", LONG, "v1");
        report("c3", WINDOW.minusMillis(1), "v1");
        assertThat(soleVersion()).isEmpty();
    }

    @Test
    void versionIsNotSoleIfAnInstanceKnowsAnother() {
        report("c1", LONG, "v1");
        report("c2", LONG, "v1");
        report("c3", LONG, "v1", "v2");
        assertThat(soleVersion()).isEmpty();
    }

    @Test
    void nothingIsProvedWithoutAnswers() {
        assertThat(answer().origin()).isEmpty();
        assertThat(soleVersion()).isEmpty();
    }
}
