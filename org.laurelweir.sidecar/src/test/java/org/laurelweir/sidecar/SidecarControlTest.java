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

/** Sidecars beside stand-in engines, with a control instance that knows their membership. */
@Timeout(240)
class SidecarControlTest {
    private static final String FIRST = "engine-1";
    private static final String SECOND = "engine-2";
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

    private static ResultCode order(SidecarFixture sidecar, String model, long fence) {
        OrderRequest order =
                OrderRequest.newBuilder()
                        .setKind("load_model")
                        .setArgument(model)
                        .setFence(fence)
                        .build();
        return ResultCode.of(sidecar.calls().order(order).getCode());
    }

    // A leader of control gives an order and is deposed; its order arrives after one of the new
    // leader. This engine does not check the number: passed on, the old order would undo the new.
    @Test
    void orderReachesTheEngineAndAnOlderOneDoesNot() throws IOException, InterruptedException {
        mControl.setFence(4);
        try (SidecarFixture sidecar = sidecar(FIRST)) {
            mControl.awaitAnswerTaken(FIRST);
            assertThat(order(sidecar, "before", 3)).isEqualTo(ResultCode.STALE_FENCE);
            assertThat(order(sidecar, "new", 6)).isEqualTo(ResultCode.OK);
            assertThat(order(sidecar, "old", 5)).isEqualTo(ResultCode.STALE_FENCE);
            assertThat(sidecar.engineOrders())
                    .contains("\"new\"", "\"fence\":6")
                    .doesNotContain("\"old\"", "\"before\"");
        }
    }

    // The sidecar stopped, said so, and the machine's clock went back an hour before it starts
    // anew. It goes on as a later run than the one that left, and answers what is meant for that.
    @Test
    void goesOnAsALaterRunAfterTheClockWentBack() throws IOException, InterruptedException {
        long before = System.currentTimeMillis() + 3_600_000;
        Backend earlier =
                new Backend(
                        new BackendRef(FIRST, before),
                        SERVICE,
                        "bergen",
                        "vestkyst",
                        "127.0.0.1:1",
                        Backend.State.SERVING,
                        1,
                        1);
        mControl.hear(earlier);
        mControl.hear(earlier.withState(Backend.State.LEFT));
        try (SidecarFixture sidecar = sidecar(FIRST)) {
            Backend known = mControl.awaitKnown(FIRST, Backend.State.SERVING);
            assertThat(known.ref()).isEqualTo(new BackendRef(FIRST, before + 1));
            AttemptReader reader = new AttemptReader();
            sidecar.open(reader, sidecar.begin(1, false, 16));
            assertThat(reader.await(Frame.End.class).usage().completionTokens()).isEqualTo(16);
        }
    }

    // A chat was answered by the only server. Another one joins, becomes the chat's home, and is
    // sent the next turn. It asks the first one, and sends the request to where the history is.
    // A question that takes over 100 ms is given up, so that one of several has to get through.
    @Test
    void newHomeFindsAChatAtThePreviousOne() throws IOException, InterruptedException {
        try (SidecarFixture previous = sidecar(SECOND)) {
            mControl.awaitAnswerTaken(SECOND);
            List<Long> chats = chatsAt(FIRST, 8);
            for (long chat : chats) {
                AttemptReader reader = new AttemptReader();
                previous.open(reader, previous.beginChat(chat, chat, false));
                reader.await(Frame.End.class);
            }
            try (SidecarFixture home = sidecar(FIRST)) {
                mControl.awaitKnown(FIRST, Backend.State.SERVING);
                mControl.awaitAnswerTaken(FIRST);
                assertThat(chats).anyMatch(chat -> isSentTo(home, chat, SECOND));
            }
        }
    }

    // A home that leaves tells the next home where its chats sit. The next home sends a request on
    // there, although it never served the chat itself.
    @Test
    void handedOverChatIsFound() throws IOException, InterruptedException {
        try (SidecarFixture home = sidecar(FIRST);
                SidecarFixture other = sidecar(SECOND)) {
            mControl.awaitKnown(SECOND, Backend.State.SERVING);
            mControl.awaitAnswerTaken(FIRST);
            long chat = chatsAt(FIRST, 1).get(0);
            home.calls()
                    .handOverChats(
                            HandOverChatsRequest.newBuilder()
                                    .setFrom("engine-3")
                                    .setService(SERVICE)
                                    .addLocations(
                                            ChatLocation.newBuilder()
                                                    .setChat(chat)
                                                    .setBackend(SECOND))
                                    .build());
            LocateChatsRequest question =
                    LocateChatsRequest.newBuilder().setService(SERVICE).addChats(chat).build();
            assertThat(home.calls().locateChats(question).getLocations(0).getBackend())
                    .isEqualTo(SECOND);
            assertThat(isSentTo(home, chat, SECOND)).isTrue();
            assertThat(other.calls().locateChats(question).getLocationsCount()).isZero();
        }
    }

    private static boolean isSentTo(SidecarFixture sidecar, long chat, String backend) {
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

    /** Returns chats whose home is one of the two servers once both are there. */
    private static List<Long> chatsAt(String home, int count) {
        ServiceView view = ServiceView.empty(SERVICE).apply(1, List.of(join(FIRST), join(SECOND)));
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
