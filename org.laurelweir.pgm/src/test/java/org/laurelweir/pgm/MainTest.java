package org.laurelweir.pgm;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.runtime.process.Program;
import org.laurelweir.wire.v1.LossTolerance;
import org.laurelweir.wire.v1.MissingVoter;
import org.laurelweir.wire.v1.ReleaseRequest;
import org.laurelweir.wire.v1.ReplicaId;
import org.laurelweir.wire.v1.SuspectKind;

/** Runs complete command lines against a fake fleet on loopback. */
class MainTest {
    private static final String NODE = "/service=seilhjerne";

    private final FakeFleet mFleet = new FakeFleet();
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private final ByteArrayOutputStream mErr = new ByteArrayOutputStream();
    private String mControl;
    @TempDir private Path mFolder;

    @BeforeEach
    void start() {
        mFleet.start();
        mControl = mFleet.leader();
        mFleet.put(NODE, 5, Map.of("bound.factor", "1.25"));
    }

    @AfterEach
    void stop() {
        mFleet.stop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "check",
                "completion",
                "data-centre drain",
                "data-centre list",
                "data-centre undrain",
                "drain",
                "explain",
                "order",
                "release",
                "replica add",
                "replica promote",
                "replica remove",
                "replica replace",
                "status",
                "undrain",
                "settings apply",
                "settings diff",
                "settings edit",
                "settings get",
                "settings history",
                "settings set"
            })
    void helpNeedsNoArguments(String command) {
        assertThat(run((command + " --help").split(" "))).isZero();
        assertThat(mOut.toString()).contains("laurelweir " + command);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "bogus",
                "drain",
                "settings set",
                "settings set /x",
                "order a b",
                "release",
                "release x#1",
                "replica add c"
            })
    void usageErrorHasItsOwnExitStatus(String command) {
        assertThat(run(command.split(" "))).isEqualTo(Program.exitCode(ResultCode.USAGE));
        assertThat(mErr.toString()).startsWith("laurelweir: ");
    }

    @Test
    void showsAndReleasesAQuarantinedRequest() {
        assertThat(run("status")).isZero();
        assertThat(mOut.toString()).contains("feed", "acme", "61 s ago", "sh-2 sh-3 sh-4");
        assertThat(run("release", "--account", "acme", "feed")).isZero();
        ReleaseRequest sent = mFleet.releases().get(0);
        assertThat(sent.getAccount()).isEqualTo("acme");
        assertThat(sent.getFingerprint()).isEqualTo(0xfeedL);
    }

    // Guards against a quarantined part of prompts that no operator sees or can release.
    @Test
    void showsAndReleasesAQuarantinedPromptPart() {
        assertThat(run("status")).isZero();
        assertThat(mOut.toString()).contains("bad", "prompt part", "brig", "50 s ago", "sh-5");
        assertThat(run("release", "--prompt-part", "bad")).isZero();
        ReleaseRequest sent = mFleet.releases().get(0);
        assertThat(sent.getKind()).isEqualTo(SuspectKind.SUSPECT_KIND_PROMPT_PART);
        assertThat(sent.getFingerprint()).isEqualTo(0xbadL);
    }

    @Test
    void followsTheHintToTheLeader() {
        mControl = mFleet.follower();
        assertThat(run("settings", "set", NODE, "bound.factor=1.5")).isZero();
        assertThat(mFleet.node(NODE).getValuesMap()).containsEntry("bound.factor", "1.5");
    }

    @Test
    void resendsChangeUnderSameIdIfAnswerIsLost() {
        // Guards against a change that conflicts with itself. Control accepts the change, but two
        // answers get lost. The invocation resends the change under the same id, and control gives
        // the first answer again. The change is accepted once.
        mFleet.loseAnswers(2);
        assertThat(run("settings", "set", NODE, "bound.factor=1.5")).isZero();
        assertThat(mFleet.changeCalls()).isEqualTo(3);
        assertThat(mFleet.node(NODE).getVersion()).isEqualTo(6);
    }

    @Test
    void reportsChangeIdForResendIfNoAnswerArrives() {
        // Guards against an unknown outcome without a safe way to resend. Control accepts the
        // change, every answer gets lost, and the last attempt fails. The message names the change
        // id. The operator resends the change later under this id and gets the first answer.
        mFleet.loseAnswers(Integer.MAX_VALUE);
        assertThat(run("settings", "set", NODE, "--change-id", "c1", "bound.factor=1.5"))
                .isEqualTo(Program.exitCode(ResultCode.UNREACHABLE));
        assertThat(mErr.toString()).contains("--change-id c1");

        mFleet.loseAnswers(0);
        assertThat(
                        run(
                                "settings",
                                "set",
                                NODE,
                                "--expect",
                                "5",
                                "--change-id",
                                "c1",
                                "bound.factor=1.5"))
                .isZero();
        assertThat(mFleet.node(NODE).getVersion()).isEqualTo(6);
    }

    @Test
    void conflictShowsVersionAndValuesInForce() {
        assertThat(run("settings", "set", NODE, "--expect", "4", "bound.factor=2"))
                .isEqualTo(Program.exitCode(ResultCode.SETTINGS_CONFLICT));
        assertThat(mErr.toString()).contains(NODE + " stands at version 5", "bound.factor=1.25");
    }

    @Test
    void appliesEditedOutputOfGet() throws IOException {
        run("settings", "get");
        Path file = mFolder.resolve("tree.yaml");
        Files.writeString(file, mOut.toString().replace("1.25", "1.30"));
        assertThat(run("settings", "diff", file.toString())).isEqualTo(1);
        assertThat(mOut.toString()).contains("- bound.factor: 1.25", "+ bound.factor: 1.30");
        assertThat(run("settings", "apply", file.toString())).isZero();
        assertThat(mFleet.node(NODE).getValuesMap()).containsEntry("bound.factor", "1.30");
        assertThat(run("settings", "diff", file.toString())).isZero();
        assertThat(run("settings", "history", "--json")).isZero();
        assertThat(json().at("/entries/0/nodes/0/set/bound.factor").asText()).isEqualTo("1.30");
    }

    // Guards against a list of models that an operator believes in place and a route covers.
    @Test
    void checkNamesARouteThatCoversTheListOfModels() throws IOException {
        Path file = mFolder.resolve("tree.yaml");
        Files.writeString(
                file,
                """
                /service=s:
                  service.kind: routed
                /route=all:
                  route.host: h
                  route.path-prefix: /v1/
                  route.shares: s:1
                /route=other:
                  route.host: h
                  route.path-prefix: /v1/models2/
                  route.shares: s:1
                """);
        assertThat(run("check", file.toString())).isZero();
        assertThat(mOut.toString())
                .contains(file + ": no fault", file + ":5: /route=all: ", "takes /v1/models,")
                .doesNotContain("/route=other");
    }

    @Test
    void rejectsFileMadeBeforeAnotherChange() throws IOException {
        // Guards against overwriting another operator's change. Two operators export the node at
        // version 5. The first one's change makes version 6. The second one applies a file that
        // still names version 5 and gets a conflict.
        Path file = mFolder.resolve("tree.yaml");
        Files.writeString(file, NODE + ": # version 5\n  bound.factor: 3\n");
        run("settings", "set", NODE, "bound.factor=2");
        assertThat(run("settings", "apply", file.toString()))
                .isEqualTo(Program.exitCode(ResultCode.SETTINGS_CONFLICT));
        assertThat(mFleet.node(NODE).getValuesMap()).containsEntry("bound.factor", "2");
    }

    @Test
    void showsWhereEachEffectiveValueComesFrom() throws IOException {
        mFleet.put("/", 6, Map.of("bound.factor", "1.5", "queue.max-age", "1s"));
        assertThat(run("settings", "get", "--effective", "--json", NODE + "/account=a")).isZero();
        Map<String, String> from = new HashMap<>();
        json().get("values")
                .forEach(
                        v ->
                                from.put(
                                        v.get("key").asText() + "=" + v.get("value").asText(),
                                        v.get("from").asText()));
        assertThat(from)
                .containsEntry("bound.factor=1.25", NODE)
                .containsEntry("queue.max-age=1s", "/")
                .containsEntry("retry.max-attempts=3", "default");
    }

    @Test
    void outputOfGetReadsBackUnchanged() throws IOException {
        mFleet.put(
                "/service=plain",
                7,
                Map.of(
                        "service.kind", "plain",
                        "service.path-prefix", "/havnebok",
                        "service.non-idempotent-calls", "POST /havnebok/*, PUT /x",
                        "service.idempotent-calls", ""));
        mFleet.put("/account=a", 8, Map.of());
        run("settings", "get");
        Path file = mFolder.resolve("tree.yaml");
        Files.writeString(file, mOut.toString());
        assertThat(run("settings", "diff", file.toString())).isZero();
    }

    @Test
    void reportsFileAndLineOfFault() throws IOException {
        Path file = mFolder.resolve("tree.yaml");
        Files.writeString(file, NODE + ":\n  bound.factor: 1.5\n  bound.factors: 2\n");
        assertThat(run("settings", "diff", file.toString()))
                .isEqualTo(Program.exitCode(ResultCode.BAD_SETTINGS_FILE));
        assertThat(mErr.toString()).contains(file + ":3: ");
    }

    @Test
    void orderCarriesNewFencingToken() {
        assertThat(run("order", FakeFleet.BACKEND, "load_model", "seil-2")).isZero();
        assertThat(mFleet.orders()).hasSize(1);
        assertThat(mFleet.orders().get(0).getFence()).isEqualTo(7);
        assertThat(run("order", "nobody", "load_model", "seil-2"))
                .isEqualTo(Program.exitCode(ResultCode.UNKNOWN_BACKEND_SERVER));
    }

    @Test
    void drainsAndUndrains() {
        assertThat(run("drain", FakeFleet.BACKEND)).isZero();
        assertThat(run("undrain", FakeFleet.BACKEND, "--json")).isZero();
        assertThat(mFleet.drains()).extracting(d -> d.getDrain()).isEqualTo(List.of(true, false));
    }

    @Test
    void drainsAndUndrainsDataCentre() {
        assertThat(run("data-centre", "drain", "bergen", "--author", "ann")).isZero();
        assertThat(run("data-centre", "undrain", "bergen", "--json")).isZero();
        assertThat(mFleet.dataCentreDrains())
                .extracting(d -> d.getDataCentre() + " " + d.getDrain())
                .containsExactly("bergen true", "bergen false");
        assertThat(mFleet.dataCentreDrains().get(0).getAuthor()).isEqualTo("ann");
    }

    @Test
    void listsDrainedDataCentres() throws IOException {
        assertThat(run("data-centre", "list", "--json")).isZero();
        assertThat(json().at("/drainedDataCentres/0/name").asText())
                .isEqualTo(FakeFleet.DRAINED_DATA_CENTRE);
        assertThat(json().at("/drainedDataCentres/0/author").asText()).isEqualTo("ann");
    }

    @Test
    void explainsDespiteUnreachableRouter() throws IOException {
        assertThat(run("explain", "--json", "f00d")).isZero();
        assertThat(json().at("/decisions/0/program").asText()).isEqualTo("router");
        assertThat(json().at("/decisions/1/program").asText()).isEqualTo("sidecar");
        assertThat(json().at("/silent/0/name").asText()).isEqualTo("r2");
    }

    // Guards against a figure that nobody knows and that is shown as a number, which JSON lacks.
    @Test
    void explainsARequestThatIsNotSent() throws IOException {
        String[] command = {
            "explain", "--host", "h", "--path", "/p", "--account", "a", "--parts", "7:1"
        };
        assertThat(run(command)).isZero();
        assertThat(mOut.toString())
                .contains("route h/p", "sent to " + FakeFleet.BACKEND, "unknown");
        String[] asJson = Arrays.copyOf(command, command.length + 2);
        asJson[command.length] = "--format";
        asJson[command.length + 1] = "json";
        assertThat(run(asJson)).isZero();
        assertThat(json().at("/services/0/service").asText()).isEqualTo("7:1");
        assertThat(json().at("/services/0/servers/0/loadAgeMillis").isMissingNode()).isTrue();
    }

    @Test
    void explainsWhyARequestWouldBeRefused() {
        assertThat(run("explain", "--host", "h", "--path", "/p")).isEqualTo(1);
        assertThat(mOut.toString()).contains("refused with 1002 UNAUTHENTICATED");
        assertThat(run("explain", "--host", "h")).isEqualTo(Program.exitCode(ResultCode.USAGE));
    }

    @Test
    void replacesLostReplicaOnceNewOneHasCaughtUp() {
        // Guards against a quorum that includes an empty disk, and against a voter more or less in
        // between. The new replica is added as a learner. That it takes the place of the old one is
        // rejected twice while it copies the log.
        mFleet.delayPromotion(2);
        assertThat(run("replica", "replace", "control-2")).isZero();
        assertThat(mFleet.membershipSteps())
                .containsExactly(
                        "ADD_LEARNER control-2#b",
                        "REPLACE control-2#b for control-2#a",
                        "REPLACE control-2#b for control-2#a",
                        "REPLACE control-2#b for control-2#a");
    }

    @Test
    void showsTheFleet() throws IOException {
        assertThat(run("status", "--json")).isZero();
        assertThat(json().at("/backends/0/id").asText()).isEqualTo(FakeFleet.BACKEND);
        assertThat(run("status")).isZero();
        assertThat(mOut.toString()).contains("seilhjerne", "SERVING");
    }

    // Guards against a rollout of which an operator can't see how far it is.
    @Test
    void statusCountsTheVersionsOfEachService() throws IOException {
        assertThat(run("status", "--json")).isZero();
        assertThat(json().at("/versions/0/version").asText()).isEqualTo("v1.2");
        assertThat(json().at("/versions/0/serving").asInt()).isEqualTo(1);
        assertThat(json().at("/versions/0/draining").asInt()).isZero();
        assertThat(json().at("/backends/0/version").asText()).isEqualTo("v1.2");
        assertThat(run("status")).isZero();
        assertThat(mOut.toString()).contains("SERVICE     VERSION  SERVING  DRAINING");
    }

    // Guards against a status that hides that the log can't bear another loss.
    @Test
    void statusTellsHowManyLossesTheLogCanBear() throws IOException {
        mFleet.setLossTolerance(
                LossTolerance.newBuilder()
                        .setNow(0)
                        .setPossible(1)
                        .setPromised(1)
                        .addMissing(missing("control-2", MissingVoter.Cause.SILENT, 3_200))
                        .addMissing(missing("control-3", MissingVoter.Cause.DISK_LOST, 0))
                        .build());
        assertThat(run("status")).isZero();
        assertThat(mOut.toString())
                .contains(
                        "losses the log can bear now: 0 of 1 promised; missing: control-2#a"
                                + " (silent for 3 s), control-3#a (its disk is lost)");
        assertThat(run("status", "--json")).isZero();
        assertThat(json().at("/losses/now").asInt(-1)).isZero();
        assertThat(json().at("/losses/promised").asInt()).isEqualTo(1);
        assertThat(json().at("/losses/missing/0/replica").asText()).isEqualTo("control-2#a");
        assertThat(json().at("/losses/missing/0/cause").asText()).isEqualTo("SILENT");
        assertThat(json().at("/losses/missing/0/silentSeconds").asInt()).isEqualTo(3);
    }

    @Test
    void statusTellsThatTheVotersAreTooFewForThePromise() {
        mFleet.setLossTolerance(
                LossTolerance.newBuilder().setNow(1).setPossible(1).setPromised(2).build());
        assertThat(run("status")).isZero();
        assertThat(mOut.toString())
                .contains("can bear now: 1 of 2 promised, 1 possible with all voters");
    }

    // Guards against a status in which an unknown number looks like one.
    @Test
    void statusSaysThatNobodyLeads() throws IOException {
        assertThat(run("status")).isZero();
        assertThat(mOut.toString()).contains("can bear now: unknown, no control instance leads");
        assertThat(run("status", "--json")).isZero();
        assertThat(json().has("losses")).isFalse();
    }

    private static MissingVoter missing(String name, MissingVoter.Cause cause, long silentMillis) {
        return MissingVoter.newBuilder()
                .setVoter(ReplicaId.newBuilder().setName(name).setStorageId(0xa))
                .setCause(cause)
                .setSilentMillis(silentMillis)
                .build();
    }

    private int run(String... args) {
        mOut.reset();
        mErr.reset();
        Console console =
                new Console(
                        new PrintStream(mOut, true, StandardCharsets.UTF_8),
                        new PrintStream(mErr, true, StandardCharsets.UTF_8),
                        Map.of("LAURELWEIR_CONTROL", mControl, "USER", "operator"));
        return new Main(console).run(args);
    }

    private JsonNode json() throws IOException {
        return new ObjectMapper().readTree(mOut.toString());
    }
}
