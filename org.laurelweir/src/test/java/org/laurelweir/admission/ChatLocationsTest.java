package org.laurelweir.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.attempt.Frame;
import org.laurelweir.lib.AttemptId;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.lib.ResultCode;
import org.laurelweir.placement.Candidate;
import org.laurelweir.placement.ChatKey;
import org.laurelweir.placement.Ranking;

/**
 * Requests are redirected to the server that has their chat's history cached, and homes learn the
 * locations of their chats.
 */
class ChatLocationsTest {
    private static final AttemptId ID = Requests.id(1);
    private static final Duration AFTER_RECENT_JOIN_PERIOD = Duration.ofHours(1);

    private final SidecarDriver mSidecar = new SidecarDriver();

    private static Ranking ranking() {
        return Ranking.of(
                List.of(candidate("engine-1"), candidate("engine-2"), candidate("engine-3")));
    }

    private static Candidate candidate(String id) {
        return new Candidate(new BackendRef(id, 1), "bergen", 1);
    }

    /** Returns a chat with the given home. */
    private static long chatWithHome(String home) {
        long chat = 1;
        while (!ranking().home(new ChatKey(chat)).id().equals(home)) {
            chat++;
        }
        return chat;
    }

    private void startAsEstablishedMember() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        // A server that joined recently asks the previous homes of its chats. This one has been a
        // member for longer.
        mSidecar.advance(AFTER_RECENT_JOIN_PERIOD);
        mSidecar.take(SidecarEffect.class);
    }

    @Test
    void homeRedirectsToTheServerThatCachesTheChat() {
        startAsEstablishedMember();
        long chat = chatWithHome("engine-1");
        mSidecar.step(new SidecarEvent.ChatsHandedOver("engine-2", Map.of(chat, "engine-2")));
        Frame.Refused refused =
                (Frame.Refused)
                        mSidecar.takeLastFrame(
                                mSidecar.requestAttempt(Requests.request(1).chat(chat, false)));
        assertThat(refused.code()).isEqualTo(ResultCode.CHAT_ELSEWHERE);
        assertThat(refused.redirectTo()).isEqualTo("engine-2");
    }

    // The home redirects a request to the server that had the chat cached, but that server is full
    // and redirects it back. A second redirect would send the request back and forth until its
    // deadline.
    @Test
    void redirectedRequestRunsHere() {
        startAsEstablishedMember();
        long chat = chatWithHome("engine-1");
        mSidecar.step(new SidecarEvent.ChatsHandedOver("engine-2", Map.of(chat, "engine-2")));
        mSidecar.requestAttempt(Requests.request(1).chat(chat, false).redirects(1));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).hasSize(1);
    }

    @Test
    void serverThatAnswersAChatOfAnotherHomeNotifiesTheHome() {
        startAsEstablishedMember();
        long chat = chatWithHome("engine-2");
        mSidecar.requestAttempt(Requests.request(1).chat(chat, false).redirects(1));
        mSidecar.answerAttempt(ID, new byte[3]);
        mSidecar.advance(Duration.ofSeconds(1));
        assertThat(mSidecar.take(SidecarEffect.HandOverChats.class))
                .containsExactly(
                        new SidecarEffect.HandOverChats("10.0.0.2:1", Map.of(chat, "engine-1")));
    }

    @Test
    void newHomeAsksThePreviousHomeAndRedirectsToItsAnswer() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        long chat = chatWithHome("engine-1");
        AttemptRequest.Builder returning = Requests.request(1).chat(chat, true);
        long stream = mSidecar.requestAttempt(returning);
        SidecarEffect.LocateChats asked = mSidecar.take(SidecarEffect.LocateChats.class).get(0);
        assertThat(asked.chats()).containsExactly(chat);

        mSidecar.step(new SidecarEvent.ChatsLocated(asked.requestId(), Map.of(chat, "engine-3")));
        Frame.Refused refused = (Frame.Refused) mSidecar.takeLastFrame(stream);
        assertThat(refused.redirectTo()).isEqualTo("engine-3");
    }

    // The previous home does not answer because it crashed or the connection is silent. The look-up
    // times out after 100 ms, and the request runs here.
    @Test
    void lookupWithoutReplyTimesOut() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        mSidecar.requestAttempt(Requests.request(1).chat(chatWithHome("engine-1"), true));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).isEmpty();
        mSidecar.advance(Duration.ofMillis(100));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).hasSize(1);
    }

    // A request is revoked during the look-up of its chat. The reply arrives after the router was
    // told that the request never started, so it must not start.
    @Test
    void attemptRevokedDuringLookupNeverStarts() {
        mSidecar.exchange(SidecarDriver.members(3), 0, false, 0);
        long chat = chatWithHome("engine-1");
        mSidecar.requestAttempt(Requests.request(1).chat(chat, true));
        long requestId = mSidecar.take(SidecarEffect.LocateChats.class).get(0).requestId();
        mSidecar.step(new SidecarEvent.AttemptRevoked(1, ID, new BackendRef("engine-1", 1)));
        mSidecar.step(new SidecarEvent.ChatsLocated(requestId, Map.of()));
        mSidecar.advance(Duration.ofSeconds(1));
        assertThat(mSidecar.take(SidecarEffect.StartEngineCall.class)).isEmpty();
    }
}
