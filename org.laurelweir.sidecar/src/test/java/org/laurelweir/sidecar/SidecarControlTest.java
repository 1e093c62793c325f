package org.laurelweir.sidecar;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.membership.Backend;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.ServiceView;
import org.laurelweir.placement.ViewChange;
import org.laurelweir.wire.v1.AttemptMessage;
import org.laurelweir.wire.v1.ChatLocation;
import org.laurelweir.wire.v1.HandOverChatsRequest;
import org.laurelweir.wire.v1.LocateChatsRequest;
import org.laurelweir.wire.v1.OrderRequest;

/** Tests sidecars beside stand-in engines with a control instance that knows their membership. */
@Timeout(240)
class SidecarControlTest {
    private static final String FIRST_BACKEND = "engine-1";
    private static final String SECOND_BACKEND = "engine-2";
    private static final String SERVICE = "seilhjerne";

    @TempDir Path mFolder;

    private FakeControl mControl;

    @BeforeEach
    void start() throws IOException {
        mControl = new FakeControl();
    }

    @AfterEach
    void stop() {
        mControl.close();
    }

    private SidecarFixture sidecar(String name) throws IOException {
        return new SidecarFixture(mFolder, name, mControl.address());
    }

    private static ResultCode sendOrder(SidecarFixture sidecar, String model, long fence) {
        OrderRequest order =
                OrderRequest.newBuilder()
                        .setKind("load_model")
                        .setArgument(model)
                        .setFence(fence)
                        .build();
        return ResultCode.of(sidecar.stub().order(order).getCode());
    }

    // Guards against a rollout of which status can't tell how far it is.
    @Test
    void announcesTheVersionOfItsSettingsFile() throws IOException, InterruptedException {
        try (SidecarFixture sidecar = sidecar(FIRST_BACKEND)) {
            Backend known = mControl.awaitBackend(FIRST_BACKEND, Backend.State.SERVING);
            assertThat(known.version()).isEqualTo("v1.2");
        }
    }

    // Guards against an old order that undoes a newer one. A control leader issues an order and
    // loses its leadership; the order arrives after one of the new leader. The engine doesn't check
    // fencing tokens, so the sidecar has to reject the old order.
    @Test
    void passesOnNewOrderAndRejectsOlderFence() throws IOException, InterruptedException {
        mControl.setFence(4);
        try (SidecarFixture sidecar = sidecar(FIRST_BACKEND)) {
            mControl.awaitAnswerApplied(FIRST_BACKEND);
            assertThat(sendOrder(sidecar, "before", 3)).isEqualTo(ResultCode.STALE_FENCE);
            assertThat(sendOrder(sidecar, "new", 6)).isEqualTo(ResultCode.OK);
            assertThat(sendOrder(sidecar, "old", 5)).isEqualTo(ResultCode.STALE_FENCE);
            assertThat(sidecar.engineOrders())
                    .contains("\"new\"", "\"fence\":6")
                    .doesNotContain("\"old\"", "\"before\"");
        }
    }

    // Guards against a restarted sidecar that counts as departed. The sidecar stops and reports
    // that it departed; the machine's clock goes back an hour before the sidecar starts again. It
    // takes an incarnation later than the departed one and serves attempts.
    @Test
    void takesLaterIncarnationAfterClockWentBack() throws IOException, InterruptedException {
        long before = System.currentTimeMillis() + 3_600_000;
        Backend earlier =
                new Backend(
                        new BackendRef(FIRST_BACKEND, before),
                        SERVICE,
                        "bergen",
                        "vestkyst",
                        "127.0.0.1:1",
                        Backend.State.SERVING,
                        1,
                        1);
        mControl.receiveReport(earlier);
        mControl.receiveReport(earlier.withState(Backend.State.LEFT));
        try (SidecarFixture sidecar = sidecar(FIRST_BACKEND)) {
            Backend known = mControl.awaitBackend(FIRST_BACKEND, Backend.State.SERVING);
            assertThat(known.ref()).isEqualTo(new BackendRef(FIRST_BACKEND, before + 1));
            AttemptReader reader = new AttemptReader();
            sidecar.open(reader, sidecar.begin(1, false, 16));
            assertThat(reader.await(Frame.End.class).usage().completionTokens()).isEqualTo(16);
        }
    }

    // Guards against losing cached history when a chat's home changes. The only backend server
    // serves a chat. Another one joins, becomes the chat's home and receives the next turn. It
    // requests the chat location from the first one and redirects the request there. The request
    // for the location times out after 100 ms, so only one of several chats has to be redirected.
    @Test
    void newHomeRedirectsChatToPreviousHome() throws IOException, InterruptedException {
        try (SidecarFixture previous = sidecar(SECOND_BACKEND)) {
            mControl.awaitAnswerApplied(SECOND_BACKEND);
            List<Long> chats = chatsWithHome(FIRST_BACKEND, 8);
            for (long chat : chats) {
                AttemptReader reader = new AttemptReader();
                previous.open(reader, previous.beginChat(chat, chat, false));
                reader.await(Frame.End.class);
            }
            try (SidecarFixture home = sidecar(FIRST_BACKEND)) {
                mControl.awaitBackend(FIRST_BACKEND, Backend.State.SERVING);
                mControl.awaitAnswerApplied(FIRST_BACKEND);
                assertThat(chats).anyMatch(chat -> isRedirectedTo(home, chat, SECOND_BACKEND));
            }
        }
    }

    // Guards against losing cached history when a home departs. The departing home hands its chat
    // locations over to the next home, which redirects requests there although it never served the
    // chats itself.
    @Test
    void homeRedirectsHandedOverChat() throws IOException, InterruptedException {
        try (SidecarFixture home = sidecar(FIRST_BACKEND);
                SidecarFixture other = sidecar(SECOND_BACKEND)) {
            mControl.awaitBackend(SECOND_BACKEND, Backend.State.SERVING);
            mControl.awaitAnswerApplied(FIRST_BACKEND);
            long chat = chatsWithHome(FIRST_BACKEND, 1).get(0);
            home.stub()
                    .handOverChats(
                            HandOverChatsRequest.newBuilder()
                                    .setFrom("engine-3")
                                    .setService(SERVICE)
                                    .addLocations(
                                            ChatLocation.newBuilder()
                                                    .setChat(chat)
                                                    .setBackend(SECOND_BACKEND))
                                    .build());
            LocateChatsRequest question =
                    LocateChatsRequest.newBuilder().setService(SERVICE).addChats(chat).build();
            assertThat(home.stub().locateChats(question).getLocations(0).getBackend())
                    .isEqualTo(SECOND_BACKEND);
            assertThat(isRedirectedTo(home, chat, SECOND_BACKEND)).isTrue();
            assertThat(other.stub().locateChats(question).getLocationsCount()).isZero();
        }
    }

    private static boolean isRedirectedTo(SidecarFixture sidecar, long chat, String backend) {
        AttemptReader reader = new AttemptReader();
        AttemptMessage next = sidecar.beginChat(1_000_000 + chat, chat, true);
        sidecar.open(reader, next);
        try {
            Frame first = reader.await(Frame.class);
            return first instanceof Frame.Refused r
                    && r.code() == ResultCode.CHAT_ELSEWHERE
                    && r.redirectTo().equals(backend);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns chats whose home is the given backend server once both have joined. */
    private static List<Long> chatsWithHome(String home, int count) {
        ServiceView view =
                ServiceView.empty(SERVICE)
                        .apply(1, List.of(join(FIRST_BACKEND), join(SECOND_BACKEND)));
        return LongStream.iterate(1, c -> c + 1)
                .filter(c -> view.ranking().home(new ChatKey(c)).id().equals(home))
                .limit(count)
                .boxed()
                .toList();
    }

    private static ViewChange join(String id) {
        return new ViewChange.Join(new Candidate(new BackendRef(id, 1), "bergen", 1));
    }
}
