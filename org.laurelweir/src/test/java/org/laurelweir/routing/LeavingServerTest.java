package org.laurelweir.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.laurelweir.answer.BodyFraming;
import org.laurelweir.answer.ServerNotice;
import org.laurelweir.attempt.AttemptRequest;
import org.laurelweir.direct.AnswerMetadata;
import org.laurelweir.direct.DirectEffect.BeginCall;
import org.laurelweir.direct.DirectEvent;
import org.laurelweir.direct.Prompt;
import org.laurelweir.direct.RetryLimits;
import org.laurelweir.direct.Route;
import org.laurelweir.direct.RoutedRequest;
import org.laurelweir.lib.BackendRef;
import org.laurelweir.load.LoadDigest;
import org.laurelweir.membership.Backend;
import org.laurelweir.membership.MembershipCursor;
import org.laurelweir.membership.MembershipDelta;
import org.laurelweir.membership.PlacementRules;
import org.laurelweir.quarantine.CrashDelta;
import org.laurelweir.settings.RouteShare;

/** Tests that a backend server which said in an answer that it leaves gets no new request. */
class LeavingServerTest {
    private static final String SERVICE = "svc";
    private static final String LEAVING = "s0";
    private static final RetryLimits LIMITS =
            new RetryLimits(0.2, 64, Duration.ofSeconds(10), 1, 1);
    private static final AnswerMetadata GENUINE =
            new AnswerMetadata(false, false, true, BodyFraming.LENGTH, Optional.empty());

    private final RouterReducer mRouter =
            new RouterReducer(new RouterConfig("r", 1, 1, Duration.ofSeconds(1), 16, LIMITS));
    private final List<BeginCall> mCalls = new ArrayList<>();
    private Instant mNow = Instant.EPOCH;
    private long mLastCaller;

    private static Backend backend(String id, long incarnation, int session) {
        return new Backend(
                new BackendRef(id, incarnation),
                SERVICE,
                "dc",
                "rg",
                id + ":80",
                Backend.State.SERVING,
                6,
                session);
    }

    private static RoutedRequest request(long number) {
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        List.of(new RouteShare(SERVICE, 1)),
                        true,
                        false,
                        false,
                        false,
                        3,
                        Duration.ofSeconds(1),
                        Duration.ofMillis(100),
                        Duration.ofMillis(100),
                        5);
        AttemptRequest.Call call =
                new AttemptRequest.Call("POST", "/x" + number, List.of(), new byte[0], false);
        return new RoutedRequest(
                "id" + number, route, "acc", 5, Duration.ofSeconds(1), call, Prompt.NONE);
    }

    private void step(RouterEvent event) {
        mRouter.step(
                mNow,
                event,
                e -> {
                    if (e instanceof RouterEffect.Direct d && d.effect() instanceof BeginCall c) {
                        mCalls.add(c);
                    }
                });
    }

    private void step(DirectEvent event) {
        step(new RouterEvent.Direct(event));
    }

    private void receive(String control, boolean full, Backend... backends) {
        MembershipCursor cursor = new MembershipCursor(control, 1, 1);
        step(
                new RouterEvent.ExchangeAnswered(
                        new MembershipDelta(cursor, full, List.of(backends)),
                        CrashDelta.NONE,
                        LoadDigest.NONE,
                        List.of(),
                        1,
                        PlacementRules.NONE));
    }

    private void receiveAll(String control) {
        receive(control, true, backend("s0", 0, 1), backend("s1", 0, 1), backend("s2", 0, 1));
    }

    private void sayLeaving(long incarnation) {
        BackendRef server = new BackendRef(LEAVING, incarnation);
        step(new DirectEvent.ServerNoticed(server, new ServerNotice(Duration.ZERO, true)));
    }

    /** Returns how many of 100 requests, which are answered at once, reach the server. */
    private long requestsToLeavingServer() {
        mCalls.clear();
        for (int i = 0; i < 100; i++) {
            step(new DirectEvent.RequestArrived(++mLastCaller, request(mLastCaller)));
            long call = mCalls.get(mCalls.size() - 1).call();
            step(new DirectEvent.HeadReceived(call, 200, List.of(), GENUINE));
            step(new DirectEvent.Finished(call));
            mNow = mNow.plusMillis(10);
            step(new RouterEvent.Tick());
        }
        return mCalls.stream().filter(c -> c.backend().id().equals(LEAVING)).count();
    }

    /** Guards against requests to a server that leaves, while control does not know of it. */
    @Test
    void serverThatSaidItLeavesGetsNoNewRequest() {
        receiveAll("c");
        assertThat(requestsToLeavingServer()).isPositive();
        sayLeaving(0);
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against control's word, seconds old, that undoes what the server said since. */
    @Test
    void laterAnnouncementDoesNotMakeALeavingServerServe() {
        receiveAll("c");
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 0, 2));
        assertThat(requestsToLeavingServer()).isZero();
        receiveAll("other");
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a server that is forgotten while control, started anew, does not name it. */
    @Test
    void leavingServerThatControlNamesAgainGetsNoRequest() {
        receiveAll("c");
        sayLeaving(0);
        receive("started anew", true, backend("s1", 0, 1), backend("s2", 0, 1));
        assertThat(requestsToLeavingServer()).isZero();
        mNow = mNow.plusSeconds(20);
        step(new RouterEvent.Tick());
        receive("c", false, backend(LEAVING, 0, 3));
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a word that is dropped since control has not named the server yet. */
    @Test
    void serverThatControlNamesAfterItsWordGetsNoRequest() {
        receive("c", true, backend("s1", 0, 1), backend("s2", 0, 1));
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 0, 1));
        assertThat(requestsToLeavingServer()).isZero();
    }

    /** Guards against a server started anew that never gets a request. */
    @Test
    void serverStartedAnewGetsRequests() {
        receiveAll("c");
        sayLeaving(0);
        receive("c", false, backend(LEAVING, 1, 1));
        assertThat(requestsToLeavingServer()).isPositive();
        sayLeaving(0);
        assertThat(requestsToLeavingServer()).isPositive();
    }
}
