package org.laurelweir.runtime.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.errors.LaurelweirException;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.settings.ByteSize;

/** Tests the binding of a settings file to a record, and the faults that it reports. */
class SettingsFileTest {
    private enum Mode {
        FULL_SPEED,
        IDLE
    }

    private record Peer(@Required @Defines("peer") String name, @Required Endpoint endpoint) {}

    private record Limits(
            @Default("1MiB") @Range(min = "1KiB", max = "8MiB") ByteSize bodyBytes,
            @Default("3s") @Range(min = "10ms", max = "1m") Duration requestTime) {}

    @ProgramName("sample")
    private record Sample(
            @Required @OneOf({"vestkyst", "vadodara"}) String region,
            @Default("0.5") @Range(min = "0", max = "1") double share,
            @Default("idle") Mode mode,
            Limits limits,
            List<Peer> peers,
            @RefersTo("peer") Optional<String> leader,
            Map<String, Integer> weights,
            @Default("4") int threads) {
        Sample {
            if (threads > 8 && mode == Mode.IDLE) {
                throw new IllegalArgumentException("an idle program needs no " + threads);
            }
        }
    }

    @TempDir Path mFolder;

    private Path file(String text) throws IOException {
        return Files.writeString(mFolder.resolve("sample.yaml"), text);
    }

    private List<String> faultsOf(String text) throws IOException {
        return SettingsFile.check(Sample.class, file(text)).stream()
                .map(f -> f.line() + " " + f.key() + ": " + f.problem() + "; " + f.allowed())
                .toList();
    }

    @Test
    void readsEveryTypeAndFillsInDefaults() throws IOException {
        Path file =
                file(
                        """
                        program: sample
                        region: vestkyst
                        mode: full-speed
                        limits:
                          request-time: 250ms
                        peers:
                          - name: a
                            endpoint: "[::1]:80"
                          - {name: b, endpoint: "10.0.0.1:81"}
                        leader: b
                        weights: {x: 1, y: 2}
                        threads: 9
                        """);

        Sample s = SettingsFile.read(Sample.class, file);

        Limits limits = new Limits(new ByteSize(1 << 20), Duration.ofMillis(250));
        List<Peer> peers =
                List.of(
                        new Peer("a", new Endpoint("::1", 80)),
                        new Peer("b", new Endpoint("10.0.0.1", 81)));
        assertThat(s)
                .isEqualTo(
                        new Sample(
                                "vestkyst",
                                0.5,
                                Mode.FULL_SPEED,
                                limits,
                                peers,
                                Optional.of("b"),
                                Map.of("x", 1, "y", 2),
                                9));
    }

    @Test
    void reportsAllFaultsWithTheirLines() throws IOException {
        assertThat(
                        faultsOf(
                                """
                                program: sample
                                colour: blue
                                share: 1.5
                                mode: fast
                                limits:
                                  request-time: 2 minutes
                                  body-bytes: 9MiB
                                peers:
                                  - name: a
                                  - name: a
                                    endpoint: host
                                leader: c
                                weights: 3
                                threads:
                                """))
                .containsExactly(
                        "1 region: missing; vestkyst, vadodara",
                        "2 colour: unknown key; leader, limits, mode, peers, region, share,"
                                + " threads, weights",
                        "3 share: is out of range: 1.5; a number, from 0 to 1",
                        "4 mode: is \"fast\"; full-speed, idle",
                        "6 limits.request-time: is \"2 minutes\";"
                                + " a duration such as 250ms, 3s or 2m, from 10ms to 1m",
                        "7 limits.body-bytes: is out of range: 9MiB;"
                                + " a size such as 64KiB, from 1KiB to 8MiB",
                        "9 peers[0].endpoint: missing; host:port",
                        "10 peers[1].name: the name \"a\" already stands on line 9;"
                                + " each name of a peer once",
                        "11 peers[1].endpoint: is \"host\"; host:port",
                        "12 leader: no peer is named \"c\"; a",
                        "13 weights: is \"3\"; a mapping of names to values",
                        "14 threads: is nothing; a whole number");
    }

    @Test
    void rejectsInconsistentValuesMalformedYamlAndDuplicateKeys() throws IOException {
        assertThat(faultsOf("program: sample\nregion: vestkyst\nthreads: 9\n"))
                .containsExactly(
                        "1 : an idle program needs no 9; values that agree with each other");
        assertThat(faultsOf("program: sample\nregion: [vestkyst\n"))
                .singleElement()
                .asString()
                .endsWith("well-formed YAML");
        assertThat(faultsOf("program: sample\nregion: vestkyst\nregion: vestkyst\n"))
                .containsExactly("3 region: already stands on line 2; each key once");
        assertThat(faultsOf("")).hasSize(1);
    }

    @Test
    void throwsOneErrorThatListsTheFaults() throws IOException {
        Path file = file("region: vestkyst\nshare: x\n");
        assertThatThrownBy(() -> SettingsFile.read(Sample.class, file))
                .isInstanceOfSatisfying(
                        LaurelweirException.class,
                        e -> assertThat(e.getCode()).isEqualTo(ResultCode.BAD_SETTINGS_FILE))
                .hasMessage(
                        file
                                + ":1: program: missing as the first key; allowed: sample\n"
                                + file
                                + ":2: share: is \"x\"; allowed: a number, from 0 to 1");
        assertThat(SettingsFile.check(Sample.class, mFolder.resolve("none.yaml"))).hasSize(1);
    }

    @Test
    void selectsTheSpecificationByTheFirstKey() throws IOException {
        List<Class<? extends Record>> specs = List.of(Sample.class);
        Path good = file("program: sample\nregion: vestkyst\n");
        assertThat(SettingsFile.check(specs, good)).isEmpty();
        Path other = file("program: other\nregion: vestkyst\n");
        assertThat(SettingsFile.check(specs, other))
                .singleElement()
                .satisfies(f -> assertThat(f.allowed()).isEqualTo("sample"));
    }
}
